import type { EncodedEntry } from './encoded-entry.js'
import type { TermStart } from './term-start.js'

/**
 * Messages of a replication link. The follower opens it with `follow`, acknowledges entries with `ack`, and reports a higher
 * term to a deposed primary with `stale`. The primary responds to `follow` with `accept` and the common position of both
 * logs, or with `refuse`; then it sends `entries`, and `beat` as a heartbeat.
 */
export type ReplicationMessage =
  | { type: 'follow', from: string, to: string, term: number, history: TermStart[], position: number }
  | { type: 'ack', position: number }
  | { type: 'stale', term: number }
  | { type: 'accept', position: number }
  | { type: 'refuse' }
  | { type: 'beat' }
  | { type: 'entries', after: number, entries: EncodedEntry[] }
