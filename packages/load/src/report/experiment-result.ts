import { z } from 'zod'

const plotSchema = z.object({
  title: z.string(),
  type: z.enum(['bar', 'line']),
  xLabel: z.string(),
  yLabel: z.string(),
  labels: z.array(z.union([z.string(), z.number()])),
  series: z.array(z.object({ name: z.string(), values: z.array(z.number().nullable()) }))
})

/** Result of one experiment: the figures of each mechanism, their bounds and the plots. */
export const experimentResultSchema = z.object({
  experiment: z.string(),
  summary: z.string(),
  /** How the experiment ran: with real processes, or with product modules over seeded fakes. */
  method: z.string(),
  command: z.string(),
  seed: z.number().int(),
  rows: z.array(z.object({
    scenario: z.string(),
    mechanism: z.string(),
    /** `baseline` marks a mechanism that the product is compared with. */
    role: z.enum(['product', 'baseline']),
    figures: z.record(z.string(), z.number().nullable())
  })),
  bounds: z.array(z.object({ text: z.string(), figure: z.number().nullable(), holds: z.boolean() })),
  plots: z.array(plotSchema)
})

export type ExperimentResult = z.infer<typeof experimentResultSchema>
