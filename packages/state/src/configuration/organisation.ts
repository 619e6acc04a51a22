import { z } from 'zod'

/** Customer. Rate and burst apply to the whole fleet together. */
export const organisationSchema = z.looseObject({
  rate: z.number().positive().describe('Statements per second over the whole fleet'),
  burst: z.number().positive().describe('Statements that may come at once, over the whole fleet'),
  weight: z.number().positive().default(1).describe('Weight in the fair queues')
})

export type Organisation = z.infer<typeof organisationSchema>
