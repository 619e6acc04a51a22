/** Class of callers: the mix of requests that they send and the catalogue entry of their organisation that they use. */
export interface CallerClass {
  name: string
  table: string
  /** Column that stores the random value of a row, for example the amount of a payment. */
  valueColumn: string
  entryClass: 'critical' | 'interactive' | 'deferred'
  /** Maximum staleness that the entry accepts. Without it, the entry has read-your-writes. */
  maximumAgeMs?: number
  /** Share of reads in the work. Work that is neither a read nor a transaction is a single insert. */
  readShare: number
  transactionShare: number
  /** Share of single inserts that have an idempotency key and are retried when their outcome is unknown. */
  idempotentShare: number
  /** Relative number of sessions and of arrivals. */
  weight: number
}
