/** Duration while a majority of hosts confirms the configuration as well. */
const WATCH_MS = 2000
/**
 * Duration when only the store confirms it. A confirmation counts from before its watch was sent, so two watches of 2 s
 * leave 1 s of the 5 s for which a share is valid, less than a grant needs.
 */
const LONE_WATCH_MS = 500
const MAJORITY_FRESH_MS = 1500

/** How long a watch of the store may wait for a change, in ms. */
export function chooseWatchDuration (majorityConfirmedAt: number, now: number): number {
  return now - majorityConfirmedAt < MAJORITY_FRESH_MS ? WATCH_MS : LONE_WATCH_MS
}
