/**
 * A deterministic state machine without I/O. `now` is monotonic time of one clock in milliseconds. The owner calls `handle`
 * for every event and when the deadline passes, and carries out the returned effects in order.
 */
export interface DecisionModule<Event, Effect> {
  handle(event: Event, now: number): Effect[]
  /** Returns the time at which the module needs a `tick` event; undefined when no timer is pending. */
  findNextDeadline(): number | undefined
}
