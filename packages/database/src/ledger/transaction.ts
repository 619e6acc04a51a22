import type { Change } from './change.js'
import type { Ledger } from './ledger.js'
import { LockWait } from './lock-wait.js'
import { SqlError } from './sql-error.js'
import { Table } from './table.js'
import type { TableDefinition } from './table-definition.js'
import type { Value } from './value.js'

interface PendingRow {
  /** New values; null when the row is deleted; undefined when it is only locked. */
  values: readonly Value[] | null | undefined
  /** Position of the committed row when the transaction locked it; 0 when there was none. */
  basePosition: number
}

interface CreateOptions {
  ledger: Ledger
  /** Open transaction that holds the lock of each locked row; shared by the transactions of the database. */
  locks: Map<string, Transaction>
  readOnly: boolean
  /** Returns false on a replica and on a deposed primary. */
  isWritable: () => boolean
  /** Appends the changes to the log and applies them. */
  commit: (changes: Change[]) => void
}

/**
 * Transaction at isolation level read committed: statements see the latest committed rows and the transaction's own writes,
 * which become visible to others at commit. Rows that it writes stay locked until it ends.
 */
export class Transaction {
  readonly #options: CreateOptions
  readonly #writes = new Map<string, Map<string, PendingRow>>()
  readonly #created = new Map<string, Table>()
  readonly #lockNames: string[] = []
  #statementUndos: Array<() => void> = []
  #outcome: 'open' | 'committed' | 'rolled back' = 'open'
  #endListeners: Array<() => void> = []
  /** Transaction that this one waits for; deadlock detection follows these references. */
  waitsFor: Transaction | undefined
  readOnly: boolean

  private constructor (options: CreateOptions) {
    this.#options = options
    this.readOnly = options.readOnly
  }

  static create (options: CreateOptions): Transaction {
    return new Transaction(options)
  }

  get hasCreatedTables (): boolean { return this.#created.size > 0 }
  get outcome (): 'open' | 'committed' | 'rolled back' { return this.#outcome }

  /** @throws SqlError 25006 when the transaction or the database is read-only. */
  checkWritable (command: string): void {
    if (!this.readOnly && this.#options.isWritable()) return
    throw SqlError.create('25006', `cannot execute ${command} in a read-only transaction`)
  }

  findTable (name: string): Table {
    return this.#created.get(name) ?? this.#options.ledger.findTable(name)
  }

  hasTable (name: string): boolean {
    return this.#created.has(name) || this.#options.ledger.hasTable(name)
  }

  createTable (definition: TableDefinition): void {
    this.#created.set(definition.name, Table.create(definition))
  }

  read (table: Table, key: string): readonly Value[] | undefined {
    const pending = this.#writes.get(table.definition.name)?.get(key)
    if (pending !== undefined && pending.values !== undefined) return pending.values ?? undefined
    return table.rows.get(key)?.values
  }

  /** Calls `visit` for every visible row. */
  scan (table: Table, visit: (values: readonly Value[], key: string) => void): void {
    this.#scanKeys(table, table.rows.keys(), visit)
  }

  /**
   * Calls `visit` for every visible row whose indexed column has this value, and also for every other row that the transaction
   * has written.
   */
  scanIndex (table: Table, column: number, value: Value, visit: (values: readonly Value[], key: string) => void): void {
    this.#scanKeys(table, table.findKeys(column, value), visit)
  }

  put (table: Table, key: string, values: readonly Value[]): void {
    this.#write(this.lock(table, key), values)
  }

  delete (table: Table, key: string): void {
    this.#write(this.lock(table, key), null)
  }

  /**
   * Locks a row.
   * @throws LockWait when another transaction holds the lock; SqlError 40P01 when that transaction waits for this one.
   */
  lock (table: Table, key: string): PendingRow {
    const { name } = table.definition
    const existing = this.#writes.get(name)?.get(key)
    if (existing !== undefined) return existing
    this.#takeLock(`${name}\0${key}`)
    let rows = this.#writes.get(name)
    if (rows === undefined) this.#writes.set(name, rows = new Map())
    const pending: PendingRow = { values: undefined, basePosition: table.rows.get(key)?.position ?? 0 }
    rows.set(key, pending)
    return pending
  }

  /** Starts a statement; `revertStatement` undoes the writes that follow. */
  startStatement (): void {
    this.#statementUndos = []
  }

  /** Undoes the writes of a statement that must wait for a lock, and keeps the locks that it has taken. */
  revertStatement (): void {
    for (const undo of this.#statementUndos.reverse()) undo()
    this.#statementUndos = []
  }

  /**
   * Returns false when there was nothing to append to the log.
   * @throws SqlError when the commit fails; the transaction is then rolled back.
   */
  commit (): boolean {
    try {
      const changes = this.#listChanges()
      if (changes.length > 0) this.#append(changes)
      this.#end('committed')
      return changes.length > 0
    } catch (error) {
      this.#end('rolled back')
      throw error
    }
  }

  rollback (): void {
    this.#end('rolled back')
  }

  /** Resolves when the transaction has ended. */
  async waitForEnd (signal: AbortSignal): Promise<void> {
    if (this.#outcome !== 'open') return
    await new Promise<void>((resolve, reject) => {
      this.#endListeners.push(resolve)
      signal.addEventListener('abort', () => { reject(SqlError.create('57014', 'canceling statement due to user request')) }, { once: true })
    })
  }

  #scanKeys (table: Table, keys: Iterable<string>, visit: (values: readonly Value[], key: string) => void): void {
    const writes = this.#writes.get(table.definition.name)
    for (const key of keys) {
      // Rows that the transaction has written are visited below, with their new values.
      if (writes?.get(key)?.values !== undefined) continue
      const row = table.rows.get(key)
      if (row !== undefined) visit(row.values, key)
    }
    if (writes === undefined) return
    for (const [key, { values }] of writes) {
      if (values) visit(values, key)
    }
  }

  #takeLock (name: string): void {
    const holder = this.#options.locks.get(name)
    if (holder !== undefined) {
      for (let next: Transaction | undefined = holder; next !== undefined; next = next.waitsFor) {
        if (next === this) throw SqlError.create('40P01', 'deadlock detected')
      }
      throw LockWait.create(holder)
    }
    this.#options.locks.set(name, this)
    this.#lockNames.push(name)
  }

  #write (pending: PendingRow, values: readonly Value[] | null): void {
    const previous = pending.values
    this.#statementUndos.push(() => { pending.values = previous })
    pending.values = values
  }

  #append (changes: Change[]): void {
    if (!this.#options.isWritable()) throw SqlError.create('25006', 'cannot commit writes: this database is not the primary')
    for (const name of this.#created.keys()) {
      if (this.#options.ledger.hasTable(name)) throw SqlError.create('40001', `relation "${name}" was created by a concurrent transaction`)
    }
    this.#options.commit(changes)
  }

  #listChanges (): Change[] {
    const changes: Change[] = []
    for (const { definition } of this.#created.values()) changes.push({ type: 'create', definition })
    for (const [table, rows] of this.#writes) {
      for (const [key, { values, basePosition }] of rows) {
        if (values === null && basePosition > 0) changes.push({ type: 'delete', table, key })
        else if (values) changes.push({ type: 'put', table, key, values: values as Value[] })
      }
    }
    return changes
  }

  #end (outcome: 'committed' | 'rolled back'): void {
    if (this.#outcome !== 'open') return
    this.#outcome = outcome
    for (const name of this.#lockNames) this.#options.locks.delete(name)
    for (const listener of this.#endListeners) listener()
    this.#endListeners = []
  }
}
