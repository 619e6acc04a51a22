import { z } from 'zod'
import { configurationChangeSchema } from './configuration-change.js'

/**
 * Changes that lead from one version to another. `fromVersion` 0 is a snapshot: every object absent from it is gone.
 * `digest` is the digest of the whole configuration after the update.
 */
export const configurationUpdateSchema = z.looseObject({
  fromVersion: z.number().int().nonnegative(),
  toVersion: z.number().int().nonnegative(),
  changes: z.array(configurationChangeSchema),
  digest: z.string()
})

export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>
