import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { RaiseTermResponse } from '@tanagerusher/coordination/common/raise-term-response'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { Change } from '../ledger/change.js'
import { Ledger } from '../ledger/ledger.js'
import { SqlError } from '../ledger/sql-error.js'
import { Transaction } from '../ledger/transaction.js'
import { decodeEntry } from '../replication/decode-entry.js'
import { encodeEntry } from '../replication/encode-entry.js'
import type { LogEntry } from '../replication/log-entry.js'
import { ReplicatedLog } from '../replication/replicated-log.js'
import type { TermStart } from '../replication/term-start.js'
import type { Journal, JournalRecord } from './journal.js'

interface CreateOptions {
  name: string
  clock: Clock
  /** Primary of term 1. */
  initialPrimary: string
  /** Changes of the first log entry; they must be equal on all members. */
  initialChanges: Change[]
  journal?: Journal
}

const FIRST_TERM = 1

/**
 * State of one database of a group: promised term, role, log and ledger. It resembles a Raft voter, except that the candidates
 * are outside of the group: `raiseTerm` is the vote, `promote` makes the database the primary of the promised term, and
 * `follow` makes it a replica.
 */
export class DatabaseMember {
  readonly name: string
  readonly ledger = Ledger.create()
  readonly #clock: Clock
  readonly #journal: Journal | undefined
  readonly #log = ReplicatedLog.create()
  readonly #listeners = new Set<() => void>()
  readonly #locks = new Map<string, Transaction>()
  #promisedTerm = FIRST_TERM
  #role: 'primary' | 'replica'
  #primary: string | null
  #lastReceivedAt: number
  connections = 0

  private constructor ({ name, clock, initialPrimary, initialChanges, journal }: CreateOptions) {
    this.name = name
    this.#clock = clock
    this.#journal = journal
    this.#role = name === initialPrimary ? 'primary' : 'replica'
    this.#primary = initialPrimary
    this.#lastReceivedAt = clock.readTime()
    const records = journal?.read() ?? []
    if (records.length === 0) this.#append({ term: FIRST_TERM, changes: initialChanges })
    else for (const record of records) this.#replay(record)
  }

  static create (options: CreateOptions): DatabaseMember {
    return new DatabaseMember(options)
  }

  get promisedTerm (): number { return this.#promisedTerm }
  get role (): 'primary' | 'replica' { return this.#role }
  get primary (): string | null { return this.#primary }
  get last (): Position { return this.#log.last }

  /** Calls `listener` after every change of the log, the promised term or the role, until the returned function is called. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  readStatus (): DatabaseStatus {
    return {
      database: this.name,
      role: this.#role,
      promisedTerm: this.#promisedTerm,
      log: this.#log.last,
      termStart: this.#log.termStart,
      primary: this.#primary,
      linkSilentMs: this.#role === 'primary' ? 0 : Math.round(this.#clock.readTime() - this.#lastReceivedAt),
      connections: this.connections
    }
  }

  /** Grants `term` only when it is higher than every term promised before; a primary of a lower term is deposed. */
  raiseTerm (term: number): RaiseTermResponse {
    const granted = term > this.#promisedTerm
    if (granted) this.#changeState(term, 'replica', null)
    return { granted, promisedTerm: this.#promisedTerm, log: this.#log.last }
  }

  /** Makes the database the primary of the term that it has promised. Refused when it already follows another primary in that term. */
  promote (term: number): boolean {
    if (term !== this.#promisedTerm) return false
    if (this.#role === 'primary') return true
    if (this.#primary !== null || this.#log.last.term >= term) return false
    this.#changeState(term, 'primary', this.name)
    this.#append({ term, changes: [] })
    this.#notify()
    return true
  }

  /** Follows a primary in `term`. A term that is higher than the promised one becomes the promised term. */
  follow (term: number, primary: string): boolean {
    if (term < this.#promisedTerm || primary === this.name) return false
    if (term === this.#promisedTerm && this.#primary !== null) return this.#primary === primary
    this.#changeState(term, 'replica', primary)
    return true
  }

  /**
   * Deposes this primary when another database reports a higher term. The promised term does not change, so that the
   * candidate of the higher term can still win the vote of this database.
   */
  handleHigherTerm (term: number): void {
    if (term > this.#promisedTerm && this.#role === 'primary') this.#changeState(this.#promisedTerm, 'replica', null)
  }

  begin (readOnly: boolean): Transaction {
    const term = this.#promisedTerm
    return Transaction.create({
      ledger: this.ledger,
      locks: this.#locks,
      readOnly,
      // A transaction of an earlier term must not commit when the database was deposed and promoted again in between.
      isWritable: () => this.#role === 'primary' && this.#promisedTerm === term,
      commit: (changes) => { this.#commit(changes) }
    })
  }

  listHistory (): TermStart[] {
    return this.#log.listHistory()
  }

  readEntries (position: number, limit: number): LogEntry[] {
    return this.#log.readAfter(position, limit)
  }

  /** Whether this database is a replica of `primary` in `term`, so that messages of that primary may change it. */
  isFollowing (term: number, primary: string): boolean {
    return this.#role === 'replica' && this.#promisedTerm === term && this.#primary === primary
  }

  /** Records that a message arrived over the replication link. */
  recordLinkActivity (): void {
    this.#lastReceivedAt = this.#clock.readTime()
  }

  /** Removes the entries after `position`, which the followed primary does not have. */
  truncate (position: number): void {
    if (position >= this.#log.position) return
    this.#revert(position)
    this.#journal?.append({ type: 'truncate', position })
    this.#notify()
  }

  /**
   * Appends entries of the followed primary; `after` is the position before the first one. Returns false without appending
   * unless `after` is the last position of this log.
   */
  receiveEntries (after: number, entries: readonly LogEntry[]): boolean {
    if (after !== this.#log.position) return false
    for (const entry of entries) this.#append(entry)
    this.#notify()
    return true
  }

  close (): void {
    this.#journal?.close()
  }

  #commit (changes: Change[]): void {
    if (this.#role !== 'primary') throw SqlError.create('25006', 'cannot commit writes: this database is not the primary')
    this.#append({ term: this.#promisedTerm, changes })
    this.#notify()
  }

  #append (entry: LogEntry): void {
    this.#journal?.append({ type: 'entry', entry: encodeEntry(entry) })
    this.#apply(entry)
  }

  #apply (entry: LogEntry): void {
    this.#log.append(entry, this.ledger.apply(entry.changes, this.#log.position + 1))
  }

  #revert (position: number): void {
    for (const { entry, undo } of this.#log.truncate(position)) this.ledger.revert(entry.changes, undo)
  }

  #changeState (promisedTerm: number, role: 'primary' | 'replica', primary: string | null): void {
    this.#promisedTerm = promisedTerm
    this.#role = role
    this.#primary = primary
    this.#journal?.append({ type: 'state', promisedTerm, role, primary })
    this.#notify()
  }

  #replay (record: JournalRecord): void {
    if (record.type === 'entry') this.#apply(decodeEntry(record.entry))
    else if (record.type === 'truncate') this.#revert(record.position)
    else {
      this.#promisedTerm = record.promisedTerm
      this.#role = record.role
      this.#primary = record.primary
    }
  }

  #notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}
