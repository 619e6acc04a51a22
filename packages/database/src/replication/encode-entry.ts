import type { EncodedEntry } from './encoded-entry.js'
import type { LogEntry } from './log-entry.js'

/** Encodes a log entry; a deletion has null in place of its values. */
export function encodeEntry ({ term, changes }: LogEntry): EncodedEntry {
  const encoded: EncodedEntry = [term]
  for (const change of changes) {
    if (change.type === 'create') encoded.push([change.definition])
    else encoded.push([change.table, change.key, change.type === 'put' ? change.values : null])
  }
  return encoded
}
