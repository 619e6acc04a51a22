/** Controls the request queue of a primary during a planned change. */
export interface PausableDatabase {
  pause: () => void
  resume: () => void
  /** Resolves with true when no request runs and no transaction is open, with false after `timeoutMs`. */
  waitUntilIdle: (timeoutMs: number) => Promise<boolean>
}
