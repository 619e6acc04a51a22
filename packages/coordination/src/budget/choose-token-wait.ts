interface Options {
  /** Time since the host's start in ms. */
  upMs: number
  /** Objective for the latency of the operation in ms. */
  targetLatencyMs: number
}

/** Tokens come with the next exchange; a caller that waits longer is over its rate and is better told. */
const USUAL_WAIT_MS = 300
/** A host begins with no tokens, and after a loss of all hosts so does the fleet; by then it has accrued them again. */
const FILLED_AFTER_MS = 3000

/**
 * Time in ms that an operation waits for a token. Answers the load after all hosts started at once: organisations are inside
 * their rates but no host has a token yet, so a refusal would be wrong about the rate and use up the caller's retries.
 */
export function chooseTokenWait ({ upMs, targetLatencyMs }: Options): number {
  return upMs < FILLED_AFTER_MS ? Math.max(USUAL_WAIT_MS, targetLatencyMs) : USUAL_WAIT_MS
}
