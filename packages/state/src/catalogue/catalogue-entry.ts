/** Guarantee for the reads of an entry: the newest data, data up to a stated age, or that plus the session's own writes. */
export type Consistency = 'primary' | 'bounded-staleness' | 'read-your-writes'

/** One entry of the catalogue: the name under which callers connect, and the guarantees that apply to their work. */
export interface CatalogueEntry {
  /** Name that callers give when they connect. */
  database: string
  /** Replicated group of databases that serves it. */
  group: string
  consistency: Consistency
  /** Age up to which a read may miss acknowledged commits of other sessions. */
  maxStalenessMs: number
  /** Time limit for one statement. */
  statementTimeoutMs: number
  /** Latency objective of a whole operation. */
  targetLatencyMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Open to callers without a key. */
  isPublic: boolean
  /** Regions in which its operations may run; empty: any. */
  homeRegions: readonly string[]
}
