import { randomUUID } from 'node:crypto'
import type { ColumnType } from './column-type.js'
import { SqlError } from './sql-error.js'
import type { TableDefinition } from './table-definition.js'
import type { Value } from './value.js'
import type { Row } from './row.js'

/** Committed rows of one table, by key. */
export class Table {
  readonly definition: TableDefinition
  readonly #rows = new Map<string, Row>()
  /** Keys of the rows by the value of each indexed column. */
  readonly #indexes: ReadonlyMap<number, Map<Value, Set<string>>>
  readonly keyColumns: readonly number[]
  readonly #columnIndexes: ReadonlyMap<string, number>

  private constructor (definition: TableDefinition) {
    this.definition = definition
    this.#columnIndexes = new Map(definition.columns.map(({ name }, index) => [name, index]))
    this.keyColumns = definition.primaryKey.map((name) => this.findColumn(name))
    this.#indexes = new Map(definition.indexes.map((name) => [this.findColumn(name), new Map<Value, Set<string>>()]))
  }

  static create (definition: TableDefinition): Table {
    return new Table(definition)
  }

  get rows (): ReadonlyMap<string, Row> { return this.#rows }

  putRow (key: string, row: Row): void {
    const previous = this.#rows.get(key)
    this.#rows.set(key, row)
    for (const [column, index] of this.#indexes) {
      if (previous !== undefined) removeFromIndex(index, previous.values[column] as Value, key)
      addToIndex(index, row.values[column] as Value, key)
    }
  }

  removeRow (key: string): void {
    const previous = this.#rows.get(key)
    if (previous === undefined) return
    this.#rows.delete(key)
    for (const [column, index] of this.#indexes) removeFromIndex(index, previous.values[column] as Value, key)
  }

  hasIndex (column: number): boolean {
    return this.#indexes.has(column)
  }

  /** Returns the keys of the committed rows whose indexed column has this value. */
  findKeys (column: number, value: Value): Iterable<string> {
    return this.#indexes.get(column)?.get(value) ?? []
  }

  /** @throws SqlError 42703 when there is no such column. */
  findColumn (name: string): number {
    const index = this.#columnIndexes.get(name)
    if (index === undefined) throw SqlError.create('42703', `column "${name}" of relation "${this.definition.name}" does not exist`)
    return index
  }

  readColumnType (index: number): ColumnType {
    return (this.definition.columns[index] as { type: ColumnType }).type
  }

  /**
   * Returns the key of a row. Without a primary key it is random, so that keys of two primaries never collide.
   * @throws SqlError 23502 for a null in the key.
   */
  computeKey (values: readonly Value[]): string {
    const { keyColumns } = this
    if (keyColumns.length === 0) return `#${randomUUID()}`
    if (keyColumns.some((index) => values[index] === null)) throw this.#createNullError()
    return keyColumns.length === 1
      ? String(values[keyColumns[0] as number])
      : JSON.stringify(keyColumns.map((index) => values[index]))
  }

  #createNullError (): SqlError {
    return SqlError.create('23502', `null value in primary key of relation "${this.definition.name}" violates not-null constraint`)
  }
}

function addToIndex (index: Map<Value, Set<string>>, value: Value, key: string): void {
  const keys = index.get(value)
  if (keys === undefined) index.set(value, new Set([key]))
  else keys.add(key)
}

function removeFromIndex (index: Map<Value, Set<string>>, value: Value, key: string): void {
  const keys = index.get(value)
  keys?.delete(key)
  if (keys?.size === 0) index.delete(value)
}
