import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { z } from 'zod'

/** Control-state snapshot as exported by operators. The digest in `configuration` detects damage. */
export const controlSnapshotSchema = z.looseObject({
  format: z.literal('tanagerusher-control-snapshot'),
  formatVersion: z.literal(1),
  configuration: configurationUpdateSchema
})

export type ControlSnapshot = z.infer<typeof controlSnapshotSchema>
