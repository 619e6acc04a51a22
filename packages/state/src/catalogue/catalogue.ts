import type { CatalogueEntry } from './catalogue-entry.js'
import type { OrganisationLimits } from './organisation-limits.js'
import type { UpstreamGroup } from './upstream-group.js'

/** One version of the operators' configuration, decoded once. */
export interface Catalogue {
  version: number
  /** By the name under which callers connect. */
  entries: ReadonlyMap<string, CatalogueEntry>
  /** Organisation of each key in force. */
  organisationByKey: ReadonlyMap<string, string>
  organisations: ReadonlyMap<string, OrganisationLimits>
  groups: ReadonlyMap<string, UpstreamGroup>
  /** An open transaction that is idle for longer may be aborted. */
  idleTransactionTimeoutMs: number
}
