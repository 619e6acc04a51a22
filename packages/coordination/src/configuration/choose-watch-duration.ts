/** Duration while a majority of hosts confirms the configuration in addition to the store. */
const MAJORITY_WATCH_MS = 2000
/**
 * Duration while only the store confirms the configuration. A confirmation counts from before its watch was sent, so two
 * watches of 2 s would leave only 1 s of the 5 s for which a share is valid, which is less than a grant needs.
 */
const STORE_ONLY_WATCH_MS = 500
const MAJORITY_CONFIRMATION_VALID_MS = 1500

/** Returns how long a watch of the store may wait for a change, in ms. */
export function chooseWatchDuration (majorityConfirmedAt: number, now: number): number {
  return now - majorityConfirmedAt < MAJORITY_CONFIRMATION_VALID_MS ? MAJORITY_WATCH_MS : STORE_ONLY_WATCH_MS
}
