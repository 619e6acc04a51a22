interface Options {
  ratePerSecond: number
  /** Number of requests of the organisation that wait for a token at this host. */
  waiting: number
}

/** A refused request has waited for about this time already, and a repetition must not come sooner than the next exchanges. */
const MIN_RETRY_AFTER_MS = 300
/** Limits may change within seconds, so a longer time would outlast its reason. */
const MAX_RETRY_AFTER_MS = 10_000

/** Returns the time after which a refused caller may come back: the fleet has then accrued a token for it and for each waiting request. */
export function chooseRetryAfterMs ({ ratePerSecond, waiting }: Options): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, 1000 * (waiting + 1) / ratePerSecond)))
}
