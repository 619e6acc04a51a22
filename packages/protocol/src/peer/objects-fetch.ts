import { z } from 'zod'

/** Fetches the changes to one kind of the store's objects since a version. Versions of a call or result are of its `era` of the store. */
export const objectsFetch = {
  method: 'objects.fetch',
  params: z.object({ kind: z.string(), era: z.number().default(0), since: z.number() }),
  result: z.object({
    era: z.number().default(0),
    revision: z.number(),
    /** Names of all objects; an object whose name is missing here was deleted. */
    names: z.array(z.string()),
    changed: z.array(z.object({ name: z.string(), revision: z.number(), value: z.unknown() }))
  })
} as const
