/** Monotonic time in milliseconds. Only differences between two times of the same host are meaningful. */
export interface Clock {
  readTime(): number
}
