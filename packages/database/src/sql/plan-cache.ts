import type { Statement } from 'pgsql-ast-parser'
import type { ColumnType } from '../ledger/column-type.js'
import type { Ledger } from '../ledger/ledger.js'
import type { Transaction } from '../ledger/transaction.js'
import { compilePlan } from './compile-plan.js'
import type { Plan } from './plan.js'
import type { StatementInstance } from './statement-instance.js'

const CACHE_LIMIT = 5000

/** Cache of the compiled statements of one database, valid for one version of its schema. */
export class PlanCache {
  readonly #ledger: Ledger
  #plans = new Map<string, Plan>()
  #schemaVersion = -1

  private constructor (ledger: Ledger) {
    this.#ledger = ledger
  }

  static create (ledger: Ledger): PlanCache {
    return new PlanCache(ledger)
  }

  /**
   * Returns the cached plan of a statement, or compiles it. Plans for a transaction that has created tables are not cached,
   * because other transactions cannot see these tables.
   */
  findOrCompile (instance: StatementInstance, declaredTypes: ReadonlyArray<ColumnType | undefined>, transaction: Transaction | undefined): Plan {
    const key = declaredTypes.length === 0 ? instance.cacheKey : `${declaredTypes.join()}\0${instance.cacheKey}`
    if (transaction?.hasCreatedTables === true) return compile(instance, declaredTypes, (name) => transaction.findTable(name))
    if (this.#schemaVersion !== this.#ledger.schemaVersion) this.#clear()
    const cached = this.#plans.get(key)
    if (cached !== undefined) return cached
    const plan = compile(instance, declaredTypes, (name) => this.#ledger.findTable(name))
    if (this.#plans.size >= CACHE_LIMIT) this.#plans.delete(this.#plans.keys().next().value as string)
    this.#plans.set(key, plan)
    return plan
  }

  #clear (): void {
    this.#plans = new Map()
    this.#schemaVersion = this.#ledger.schemaVersion
  }
}

function compile (instance: StatementInstance, declaredTypes: ReadonlyArray<ColumnType | undefined>, findTable: Ledger['findTable']): Plan {
  const { parsed, parameterCount, literals } = instance
  return compilePlan({ statement: (parsed as { statement: Statement }).statement, parameterCount, literals, declaredTypes, findTable })
}
