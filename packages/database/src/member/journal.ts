import type { EncodedEntry } from '../replication/encoded-entry.js'

/** Durable record of a database. The records in order lead to its state. */
export type JournalRecord =
  | { type: 'entry', entry: EncodedEntry }
  | { type: 'truncate', position: number }
  | { type: 'state', promisedTerm: number, role: 'primary' | 'replica', primary: string | null }

/** Keeps the records of one database over a restart of the process. */
export interface Journal {
  read(): JournalRecord[]
  append(record: JournalRecord): void
  close(): void
}
