/** Kind of caller: what it asks for, and which catalogue entry of its organisation it uses. */
export interface CallerClass {
  name: string
  table: string
  /** Column that carries the class's own figure, for example the amount of a payment. */
  column: string
  entryClass: 'critical' | 'interactive' | 'deferred'
  /** Staleness that the entry accepts; absent means read-your-writes. */
  maximumAgeMs?: number
  /** Shares of the work; what remains are single inserts. */
  readShare: number
  transactionShare: number
  /** Share of single inserts that carry an idempotency key and are repeated when their outcome is unknown. */
  idempotentShare: number
  /** Relative number of sessions and arrivals. */
  weight: number
}
