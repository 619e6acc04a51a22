import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { z } from 'zod'

/** Asks a control for what lies between the caller's version and the peer's; null when there is nothing newer. */
export const configurationFetch = {
  method: 'configuration.fetch',
  params: z.looseObject({ fromVersion: z.number().int() }),
  result: z.looseObject({ update: configurationUpdateSchema.nullable(), version: z.number().int() })
} as const
