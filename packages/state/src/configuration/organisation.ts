import { z } from 'zod'

/** A customer. Rate and burst hold over the whole fleet. */
export const organisationSchema = z.looseObject({
  /** Statements per second. */
  rate: z.number().positive().describe('Statements per second over the whole fleet'),
  burst: z.number().positive().describe('Statements that may come at once, over the whole fleet'),
  weight: z.number().positive().default(1).describe('Weight in the fair queues')
})

export type Organisation = z.infer<typeof organisationSchema>
