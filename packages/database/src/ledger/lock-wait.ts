import type { Transaction } from './transaction.js'

/** Thrown by a statement that must wait for another transaction to end; the statement has had no effect and runs again. */
export class LockWait extends Error {
  readonly holder: Transaction

  private constructor (holder: Transaction) {
    super('waiting for another transaction')
    this.holder = holder
  }

  static create (holder: Transaction): LockWait {
    return new LockWait(holder)
  }
}
