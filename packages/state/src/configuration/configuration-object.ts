import { z } from 'zod'
import { entrySchema } from './entry.js'
import { groupSchema } from './group.js'
import { keySchema } from './key.js'
import { organisationSchema } from './organisation.js'

const commonFields = { name: z.string().min(1), version: z.number().int().nonnegative() }

/** Object of the configuration as the store keeps it. `version` is the store version of its last change. */
export const configurationObjectSchema = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('organisation'), ...commonFields, value: organisationSchema }),
  z.looseObject({ kind: z.literal('key'), ...commonFields, value: keySchema }),
  z.looseObject({ kind: z.literal('entry'), ...commonFields, value: entrySchema }),
  z.looseObject({ kind: z.literal('group'), ...commonFields, value: groupSchema }),
  z.looseObject({ kind: z.literal('fleet'), ...commonFields, value: z.looseObject({}) })
])

export type ConfigurationObject = z.infer<typeof configurationObjectSchema>
