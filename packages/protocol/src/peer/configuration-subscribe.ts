import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { z } from 'zod'

/** Like `configuration.fetch`; later updates follow as `configuration.update` on the same connection. */
export const configurationSubscribe = {
  method: 'configuration.subscribe',
  params: z.looseObject({ fromVersion: z.number().int() }),
  result: z.looseObject({ update: configurationUpdateSchema.nullable(), version: z.number().int() })
} as const
