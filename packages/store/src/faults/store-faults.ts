import { z } from 'zod'

const ratio = z.number().min(0).max(1).default(0)

/** Faults of the store. `PUT /faults` replaces all of them; what is absent is off. */
export const storeFaultsSchema = z.strictObject({
  outage: z.enum(['none', 'refuse', 'silent']).default('none')
    .describe('refuse: every call gets 503; silent: no call gets an answer'),
  extraDelayMs: z.number().nonnegative().default(0).describe('Time added to every answer'),
  lostAnswers: z.strictObject({
    next: z.number().int().nonnegative().default(0).describe('Number of coming calls whose answer is lost after the call took effect'),
    ratio,
    only: z.enum(['all', 'writes']).default('writes')
  }).prefault({}),
  watch: z.strictObject({
    skipRatio: ratio.describe('Part of the changes that watches leave out'),
    repeatRatio: ratio.describe('Part of the changes that watches return twice')
  }).prefault({}),
  seed: z.number().int().default(1).describe('Seed of the random choices; they start anew with every PUT')
})

export type StoreFaults = z.infer<typeof storeFaultsSchema>
