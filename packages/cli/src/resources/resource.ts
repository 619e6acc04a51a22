import type { z } from 'zod'

/** Kind of object that operators manage, with its path in the administration API and its schema. */
export interface Resource {
  path: string
  schema: z.ZodType<Record<string, unknown>>
}
