import type { Change } from './change.js'
import { SqlError } from './sql-error.js'
import { Table } from './table.js'
import type { Row } from './row.js'

/**
 * Rows that the changes of one log entry replaced, in the order of the changes, so that a truncation of the log can restore
 * them. Null when the changes only inserted rows and created tables, which is the frequent case.
 */
export type Undo = Array<Row | undefined> | null

/** Committed tables of a database: the state that results from applying the entries of its log. */
export class Ledger {
  readonly #tables = new Map<string, Table>()
  #schemaVersion = 0

  static create (): Ledger {
    return new Ledger()
  }

  /** Increases whenever a table is added or removed; statements compiled for another version are stale. */
  get schemaVersion (): number { return this.#schemaVersion }

  hasTable (name: string): boolean {
    return this.#tables.has(name)
  }

  /** @throws SqlError 42P01 when there is no such table. */
  findTable (name: string): Table {
    const table = this.#tables.get(name)
    if (table === undefined) throw SqlError.create('42P01', `relation "${name}" does not exist`)
    return table
  }

  /** Applies the changes of the log entry at `position` and returns the rows that they replaced. */
  apply (changes: readonly Change[], position: number): Undo {
    let undo: Undo = null
    for (let index = 0; index < changes.length; index++) {
      const previous = this.#applyChange(changes[index] as Change, position)
      if (previous === undefined) continue
      undo ??= new Array<Row | undefined>(changes.length).fill(undefined)
      undo[index] = previous
    }
    return undo
  }

  /** Reverts the changes of one log entry in reverse order. */
  revert (changes: readonly Change[], undo: Undo): void {
    for (let index = changes.length - 1; index >= 0; index--) {
      const change = changes[index] as Change
      if (change.type === 'create') this.#removeTable(change.definition.name)
      else restoreRow(this.findTable(change.table), change.key, undo?.[index])
    }
  }

  #applyChange (change: Change, position: number): Row | undefined {
    if (change.type === 'create') {
      this.#tables.set(change.definition.name, Table.create(change.definition))
      this.#schemaVersion++
      return undefined
    }
    const table = this.findTable(change.table)
    const previous = table.rows.get(change.key)
    if (change.type === 'delete') table.removeRow(change.key)
    else table.putRow(change.key, { values: change.values, position })
    return previous
  }

  #removeTable (name: string): void {
    this.#tables.delete(name)
    this.#schemaVersion++
  }
}

function restoreRow (table: Table, key: string, previous: Row | undefined): void {
  if (previous === undefined) table.removeRow(key)
  else table.putRow(key, previous)
}
