import type { Transaction } from './transaction.js'

/** Thrown when a statement must wait for another transaction to end. The statement has had no effect and is run again afterwards. */
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
