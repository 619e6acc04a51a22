/**
 * A pure, deterministic decision maker. `now` is monotonic milliseconds of one clock. The owner calls `handle` for every
 * event and again when the deadline passes, and carries out the effects in order.
 */
export interface DecisionModule<Event, Effect> {
  handle(event: Event, now: number): Effect[]
  /** Time at which the module wants a `tick` event; undefined when it waits for nothing. */
  findNextDeadline(): number | undefined
}
