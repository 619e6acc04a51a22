import { z } from 'zod'

const ratio = z.number().min(0).max(1).default(0)

/** Faults that the store injects. `PUT /faults` replaces all of them; a fault that the body omits is off. */
export const storeFaultsSchema = z.strictObject({
  outage: z.enum(['none', 'refuse', 'silent']).default('none')
    .describe('refuse: every call gets 503; silent: no call gets a response'),
  extraDelayMs: z.number().nonnegative().default(0).describe('Time added to every answer'),
  lostAnswers: z.strictObject({
    next: z.number().int().nonnegative().default(0).describe('Number of calls, from the next one on, whose response is lost after the call took effect'),
    ratio,
    only: z.enum(['all', 'writes']).default('writes')
  }).prefault({}),
  watch: z.strictObject({
    skipRatio: ratio.describe('Fraction of the changes that watches skip'),
    repeatRatio: ratio.describe('Fraction of the changes that watches return twice')
  }).prefault({}),
  seed: z.number().int().default(1).describe('Seed of the random choices; every PUT restarts their sequence')
})

export type StoreFaults = z.infer<typeof storeFaultsSchema>
