import { z } from 'zod'

/** Operation whose placement is to be explained. */
export const explainQuerySchema = z.object({
  database: z.string().min(1),
  /** Absent for a caller without a key. */
  organisation: z.string().min(1).optional(),
  access: z.enum(['read', 'write'])
})

export type ExplainQuery = z.infer<typeof explainQuerySchema>
