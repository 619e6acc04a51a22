import type { EncodedEntry } from './encoded-entry.js'
import type { TermStart } from './term-start.js'

/**
 * Messages of a replication link. The follower opens it with `follow` and reports with `ack`; `stale` tells a deposed
 * primary of the higher term. The primary answers with `accept` and the common position, or with `refuse`.
 */
export type ReplicationMessage =
  | { type: 'follow', from: string, to: string, term: number, history: TermStart[], position: number }
  | { type: 'ack', position: number }
  | { type: 'stale', term: number }
  | { type: 'accept', position: number }
  | { type: 'refuse' }
  | { type: 'beat' }
  | { type: 'entries', after: number, entries: EncodedEntry[] }
