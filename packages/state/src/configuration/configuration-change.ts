import { z } from 'zod'
import { configurationObjectSchema } from './configuration-object.js'

/** One change of the configuration: a new value, or the removal of an object. */
export const configurationChangeSchema = z.union([
  z.object({ type: z.literal('put'), object: configurationObjectSchema }),
  z.object({ type: z.literal('delete'), kind: z.string(), name: z.string(), version: z.number().int() })
])

export type ConfigurationChange = z.infer<typeof configurationChangeSchema>
