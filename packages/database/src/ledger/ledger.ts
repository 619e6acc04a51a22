import type { Change } from './change.js'
import { SqlError } from './sql-error.js'
import { Table, type Row } from './table.js'

/** What an applied change replaced, so that a truncation can put it back. */
export type Undo =
  | { type: 'row', table: string, key: string, previous: Row | undefined }
  | { type: 'table', name: string }

/** Committed state of a database: the result of its log. */
export class Ledger {
  readonly #tables = new Map<string, Table>()
  #schemaVersion = 0

  static create (): Ledger {
    return new Ledger()
  }

  /** Changes with every new or removed table; statements compiled for another version are stale. */
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

  /** Applies the changes of the entry at `position` and returns how to undo them, last change first. */
  apply (changes: readonly Change[], position: number): Undo[] {
    const undos: Undo[] = []
    for (const change of changes) undos.push(this.#applyChange(change, position))
    return undos.reverse()
  }

  revert (undos: readonly Undo[]): void {
    for (const undo of undos) {
      if (undo.type === 'table') this.#removeTable(undo.name)
      else restoreRow(this.findTable(undo.table), undo.key, undo.previous)
    }
  }

  #applyChange (change: Change, position: number): Undo {
    if (change.type === 'create') {
      this.#tables.set(change.definition.name, Table.create(change.definition))
      this.#schemaVersion++
      return { type: 'table', name: change.definition.name }
    }
    const table = this.findTable(change.table)
    const previous = table.rows.get(change.key)
    if (change.type === 'delete') table.removeRow(change.key)
    else table.putRow(change.key, { values: change.values, position })
    return { type: 'row', table: change.table, key: change.key, previous }
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
