import { z } from 'zod'

/** Fetches the changes to one kind of the store's objects since a version. */
export const objectsFetch = {
  method: 'objects.fetch',
  params: z.object({ kind: z.string(), since: z.number() }),
  result: z.object({
    revision: z.number(),
    /** Names of all objects; an object whose name is missing here was deleted. */
    names: z.array(z.string()),
    changed: z.array(z.object({ name: z.string(), revision: z.number(), value: z.unknown() }))
  })
} as const
