import type { Transaction } from '../ledger/transaction.js'
import type { Value } from '../ledger/value.js'

/** Input of one run of a compiled statement. */
export interface RunContext {
  transaction: Transaction
  parameters: readonly Value[]
  /** Rows that the control function of the statement returned. */
  controlRows: ReadonlyArray<readonly Value[]>
  readSetting: (name: string) => string | null
}
