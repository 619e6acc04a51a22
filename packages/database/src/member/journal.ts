import type { EncodedEntry } from '../replication/encoded-entry.js'

/** Durable record of a database. Replaying the records in order restores its state. */
export type JournalRecord =
  | { type: 'entry', entry: EncodedEntry }
  | { type: 'truncate', position: number }
  | { type: 'state', promisedTerm: number, role: 'primary' | 'replica', primary: string | null }

/** Stores the records of one database so that they survive a restart of the process. */
export interface Journal {
  read(): JournalRecord[]
  append(record: JournalRecord): void
  close(): void
}
