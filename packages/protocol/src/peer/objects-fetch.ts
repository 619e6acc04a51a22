import { z } from 'zod'

/** Asks for what changed in a kind of the store's objects since a version. */
export const objectsFetch = {
  method: 'objects.fetch',
  params: z.object({ kind: z.string(), since: z.number() }),
  result: z.object({
    revision: z.number(),
    /** Names of all objects; those that are missing here are gone. */
    names: z.array(z.string()),
    changed: z.array(z.object({ name: z.string(), revision: z.number(), value: z.unknown() }))
  })
} as const
