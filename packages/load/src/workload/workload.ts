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

/** A deployment's callers and limits, as section 1.1 of the design describes them. */
export interface Workload {
  name: string
  regions: string[]
  groups: string[]
  slots: number
  connections: number
  /** Time that a new connection to a database takes. */
  connectMs: number
  latencyMs: { dataCentre: number, region: number }
  organisations: Array<{ name: string, rate: number, burst: number, weight: number }>
  classes: CallerClass[]
}
