/** Monotonic time in milliseconds. Only differences have a meaning, and only on one host. */
export interface Clock {
  readTime(): number
}
