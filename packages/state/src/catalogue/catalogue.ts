import type { CatalogueEntry } from './catalogue-entry.js'

/** One version of the operators' configuration, decoded once. */
export interface Catalogue {
  version: number
  /** By the name under which callers connect. */
  entries: ReadonlyMap<string, CatalogueEntry>
  /** Organisation of each key in force. */
  organisationByKey: ReadonlyMap<string, string>
  organisations: ReadonlyMap<string, { ratePerSecond: number, burst: number }>
  groups: ReadonlyMap<string, { maxConnections: number, syncReplicas: number }>
  /** An open transaction that is idle for longer may be aborted. */
  idleTransactionTimeoutMs: number
}
