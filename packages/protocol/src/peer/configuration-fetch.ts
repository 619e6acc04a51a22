import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { z } from 'zod'

/** Fetches the changes between the caller's version and that of a control process; null when there is nothing newer. */
export const configurationFetch = {
  method: 'configuration.fetch',
  params: z.looseObject({ fromVersion: z.number().int() }),
  result: z.looseObject({ update: configurationUpdateSchema.nullable(), version: z.number().int() })
} as const
