/** Requests of a primary that is about to hand over. */
export interface PausableDatabase {
  pause: () => void
  resume: () => void
  /** Resolves true when nothing runs and no transaction is open, false after `timeoutMs`. */
  waitUntilIdle: (timeoutMs: number) => Promise<boolean>
}
