import { z } from 'zod'

const rowSchema = z.object({ host: z.string(), incarnation: z.string(), address: z.string() })

/** Value of the object `fleet/share-table`. */
export const shareTableSchema = z.looseObject({
  /** Increases by one with each change. */
  generation: z.number().int().positive(),
  hosts: z.array(rowSchema),
  /** Rows of the previous generation. No share may grow before a majority of these hosts has this table. */
  previousHosts: z.array(rowSchema)
})

export type ShareTableValue = z.infer<typeof shareTableSchema>
export type ShareRow = z.infer<typeof rowSchema>
