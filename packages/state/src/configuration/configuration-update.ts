import { z } from 'zod'
import { configurationChangeSchema } from './configuration-change.js'

/**
 * Changes between two versions. An update with `fromVersion` 0 is a snapshot: an object absent from it does not exist any more.
 * `digest` is the digest of the whole configuration after the update.
 */
export const configurationUpdateSchema = z.looseObject({
  fromVersion: z.number().int().nonnegative(),
  toVersion: z.number().int().nonnegative(),
  changes: z.array(configurationChangeSchema),
  digest: z.string()
})

export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>
