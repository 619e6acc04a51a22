interface Options {
  /** Time since the start of the host in ms. */
  uptimeMs: number
  /** Objective for the latency of the operation in ms. */
  targetLatencyMs: number
}

/** Tokens arrive with the next exchange. A caller that waits longer is over its rate and should be rejected. */
const DEFAULT_WAIT_MS = 300
/** A host starts without tokens, and so does the fleet after all hosts were lost. After this time they have accrued again. */
const STARTUP_MS = 3000

/**
 * Returns the time in ms that an operation may wait for a token. The time is longer after the start of a host: when all hosts
 * start together, organisations are within their rates but no host has a token yet, so a rejection would be wrong and would use
 * up the retries of the caller.
 */
export function chooseTokenWaitMs ({ uptimeMs: upMs, targetLatencyMs }: Options): number {
  return upMs < STARTUP_MS ? Math.max(DEFAULT_WAIT_MS, targetLatencyMs) : DEFAULT_WAIT_MS
}
