import type { ColumnType } from '../ledger/column-type.js'
import { SqlError } from '../ledger/sql-error.js'
import type { ScopeColumn } from './scope-column.js'
import type { Aggregate } from './aggregate.js'

interface CreateOptions {
  columns: readonly ScopeColumn[]
  /** Names that may qualify a column: the table and its alias. */
  qualifiers?: readonly string[]
  /** Number of the client's parameters. */
  parameterCount: number
  /** Literals that were replaced by parameters; these are numbered after the client's. */
  literals: ReadonlyArray<string | number>
  /** Shared by all scopes of one statement. */
  parameterTypes: Array<ColumnType | undefined>
}

/** Resolves column names and parameter types while a statement is compiled. */
export class Scope {
  readonly columns: readonly ScopeColumn[]
  readonly parameterTypes: Array<ColumnType | undefined>
  /** Aggregates found so far; their results follow the columns of the row. Undefined where aggregates are not allowed. */
  aggregates: Aggregate[] | undefined
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
    this.columns = options.columns
    this.parameterTypes = options.parameterTypes
  }

  static create (options: CreateOptions): Scope {
    return new Scope(options)
  }

  /** @throws SqlError 42703 or 42P01. */
  findColumn (name: string, qualifier: string | undefined): number {
    if (qualifier !== undefined && !(this.#options.qualifiers ?? []).includes(qualifier)) {
      throw SqlError.create('42P01', `missing FROM-clause entry for table "${qualifier}"`)
    }
    const index = this.columns.findIndex((column) => column.name === name)
    if (index < 0) throw SqlError.create('42703', `column "${name}" does not exist`)
    return index
  }

  /** Chooses the type of a parameter at its first use: the type of its context, else the type of its literal, else text. */
  chooseParameterType (index: number, expected: ColumnType | undefined): ColumnType {
    const knownType = this.parameterTypes[index]
    if (knownType !== undefined) return knownType
    const literal = this.#options.literals[index - this.#options.parameterCount]
    const type = typeof literal === 'number' ? chooseNumberType(literal, expected) : expected ?? 'text'
    this.parameterTypes[index] = type
    return type
  }

  /** Whether the parameter takes its type from its context. */
  isUntypedParameter (index: number): boolean {
    return typeof this.#options.literals[index - this.#options.parameterCount] !== 'number'
  }
}

function chooseNumberType (literal: number, expected: ColumnType | undefined): ColumnType {
  if (!Number.isInteger(literal)) return expected === 'text' ? 'text' : 'numeric'
  if (expected !== undefined && expected !== 'boolean') return expected
  return Math.abs(literal) > 0x7fff_ffff ? 'bigint' : 'integer'
}
