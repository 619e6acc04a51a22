import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { z } from 'zod'

/** Control-state snapshot as operators export it. The digest in `configuration` shows damage. */
export const controlSnapshotSchema = z.looseObject({
  format: z.literal('tanagerusher-control-snapshot'),
  formatVersion: z.literal(1),
  configuration: configurationUpdateSchema
})

export type ControlSnapshot = z.infer<typeof controlSnapshotSchema>
