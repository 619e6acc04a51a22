import { LockWait } from '../ledger/lock-wait.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Transaction } from '../ledger/transaction.js'
import type { Value } from '../ledger/value.js'
import { callControlFunction } from '../member/call-control-function.js'
import { waitForChange } from '../member/wait-for-change.js'
import type { Plan } from '../sql/plan.js'
import type { PlanResult } from '../sql/plan-result.js'
import type { RunContext } from '../sql/run-context.js'
import type { SessionEnvironment } from './session-environment.js'
import type { SessionSettings } from './session-settings.js'

interface CreateOptions {
  environment: SessionEnvironment
  sessionSettings: SessionSettings
  backendId: number
}

type TransactionStatus = 'I' | 'T' | 'E'

/**
 * Runs compiled statements of one session in its transaction, and holds a slot from the first statement of a transaction
 * to its end. A method returns a promise only when the statement has to wait, because simple statements are frequent.
 */
export class StatementExecutor {
  readonly #environment: SessionEnvironment
  readonly #sessionSettings: SessionSettings
  readonly #backendId: number
  #transaction: Transaction | undefined
  #isExplicit = false
  #isFailed = false
  #holdsSlot = false
  #abort: AbortController | undefined
  /** The statement has its slot and its locks and works; it goes on when its client is gone. */
  #isWorking = false

  private constructor ({ environment, sessionSettings, backendId }: CreateOptions) {
    this.#environment = environment
    this.#sessionSettings = sessionSettings
    this.#backendId = backendId
  }

  static create (options: CreateOptions): StatementExecutor {
    return new StatementExecutor(options)
  }

  get status (): TransactionStatus {
    if (!this.#isExplicit) return 'I'
    return this.#isFailed ? 'E' : 'T'
  }

  get transaction (): Transaction | undefined { return this.#transaction }

  /** Begins an explicit transaction; within one it has no effect. `readOnly` overrides the session's default. */
  begin (readOnly: boolean | undefined): void {
    if (this.#isExplicit) return
    const transaction = this.#ensureTransaction()
    transaction.readOnly = readOnly ?? transaction.readOnly
    this.#isExplicit = true
  }

  setReadOnly (readOnly: boolean): void {
    if (this.#transaction !== undefined) this.#transaction.readOnly = readOnly
  }

  /** Ends the explicit transaction; false when it was rolled back because it had failed. Tells whether it wrote. */
  commit (): { committed: boolean, wrote: boolean } {
    if (!this.#isFailed) return { committed: true, wrote: this.#finish() }
    this.rollback()
    return { committed: false, wrote: false }
  }

  /** Commits the implicit transaction, if there is one. Tells whether it wrote. */
  commitImplicit (): boolean {
    return this.#isExplicit ? false : this.#finish()
  }

  rollback (): void {
    this.#transaction?.rollback()
    this.#reset()
  }

  /** Records a failed statement: an explicit transaction can only roll back, an implicit one is rolled back. */
  fail (): void {
    if (this.#isExplicit) this.#isFailed = true
    else this.rollback()
  }

  checkNotFailed (): void {
    if (this.#isFailed) throw SqlError.create('25P02', 'current transaction is aborted, commands ignored until end of transaction block')
  }

  run (plan: Plan, parameters: readonly Value[]): PlanResult | Promise<PlanResult> {
    this.checkNotFailed()
    if (plan.control !== null) return this.#runControl(plan, parameters)
    const transaction = this.#ensureTransaction()
    if (plan.isWrite) transaction.checkWritable(plan.command)
    if (!this.#takeSlotNow() || this.#isSlow(plan)) return this.#runSlowly(plan, parameters, transaction)
    const context = this.#createContext(transaction, parameters)
    try {
      return this.#runPlan(plan, context)
    } catch (error) {
      if (error instanceof LockWait) return this.#runAfter(error.holder, plan, context)
      throw error
    }
  }

  /** Ends the statement that runs, if one does: cancel request or crash. */
  cancel (): void {
    this.#abort?.abort()
  }

  /** Ends the wait of a statement that has not begun to work. */
  abandon (): void {
    if (!this.#isWorking) this.#abort?.abort()
  }

  #ensureTransaction (): Transaction {
    this.#transaction ??= this.#environment.member.begin(this.#sessionSettings.isReadOnly)
    return this.#transaction
  }

  #finish (): boolean {
    const transaction = this.#transaction
    try {
      return transaction?.commit() ?? false
    } finally {
      this.#reset()
    }
  }

  #reset (): void {
    this.#transaction = undefined
    this.#isExplicit = false
    this.#isFailed = false
    if (!this.#holdsSlot) return
    this.#holdsSlot = false
    this.#environment.slots.release()
  }

  #takeSlotNow (): boolean {
    this.#holdsSlot ||= this.#environment.slots.tryTake()
    return this.#holdsSlot
  }

  #isSlow (plan: Plan): boolean {
    const { settings, faults, member } = this.#environment
    return plan.sleepSeconds !== null || settings.serviceTimeMs + faults.readExtraServiceMs(member.name) > 0
  }

  async #runSlowly (plan: Plan, parameters: readonly Value[], transaction: Transaction): Promise<PlanResult> {
    const { slots, settings, faults, member } = this.#environment
    const context = this.#createContext(transaction, parameters)
    await this.#waitAbortably(async (signal) => {
      if (!this.#holdsSlot) {
        await slots.take(signal)
        this.#holdsSlot = true
      }
      const sleepMs = Number(plan.sleepSeconds?.evaluate([], context) ?? 0) * 1000
      this.#isWorking = true
      await sleep(settings.serviceTimeMs + faults.readExtraServiceMs(member.name) + sleepMs, signal)
      await faults.waitWhilePaused(member.name)
      if (signal.aborted) throw SqlError.create('57014', 'canceling statement due to user request')
    })
    // The role may have changed during the wait.
    if (plan.isWrite) transaction.checkWritable(plan.command)
    try {
      return this.#runPlan(plan, context)
    } catch (error) {
      if (error instanceof LockWait) return await this.#runAfter(error.holder, plan, context)
      throw error
    }
  }

  #runPlan (plan: Plan, context: RunContext): PlanResult {
    const { transaction } = context
    transaction.startStatement()
    try {
      return plan.run(context)
    } catch (error) {
      if (error instanceof LockWait) transaction.revertStatement()
      throw error
    }
  }

  /**
   * Waits for the transaction that holds a row and runs the statement again. When that transaction committed, an INSERT
   * finds the row, a single statement works on the new row, and an explicit transaction fails with 40001.
   */
  async #runAfter (holder: Transaction, plan: Plan, context: RunContext): Promise<PlanResult> {
    const { transaction } = context
    for (let next = holder; ;) {
      transaction.waitsFor = next
      try {
        await this.#waitAbortably((signal) => next.waitForEnd(signal))
      } finally {
        transaction.waitsFor = undefined
      }
      if (next.outcome === 'committed' && plan.command !== 'INSERT' && this.#isExplicit) {
        throw SqlError.create('40001', 'could not serialize access due to concurrent update')
      }
      try {
        return this.#runPlan(plan, context)
      } catch (error) {
        if (!(error instanceof LockWait)) throw error
        next = error.holder
      }
    }
  }

  /** Control functions need no slot, so that they answer when the database is busy. */
  #runControl (plan: Plan, parameters: readonly Value[]): PlanResult | Promise<PlanResult> {
    const { member, waiters, faults } = this.#environment
    const transaction = this.#transaction ?? member.begin(true)
    const context = this.#createContext(transaction, parameters)
    const { name, parameters: expressions } = plan.control as NonNullable<Plan['control']>
    const values = expressions.map(({ evaluate }) => evaluate([], context))
    if (name !== 'platform_wait') return plan.run({ ...context, controlRows: callControlFunction({ name, parameters: values, member }) })
    const abort = new AbortController()
    this.#abort = abort
    return waitForChange({ parameters: values, member, waiters, signal: abort.signal }).then(async (controlRows) => {
      this.#abort = undefined
      await faults.waitWhilePaused(member.name)
      if (abort.signal.aborted) throw SqlError.create('57014', 'canceling statement due to user request')
      return plan.run({ ...context, controlRows })
    })
  }

  async #waitAbortably (wait: (signal: AbortSignal) => Promise<void>): Promise<void> {
    const abort = new AbortController()
    this.#abort = abort
    try {
      await wait(abort.signal)
    } finally {
      this.#abort = undefined
      this.#isWorking = false
    }
  }

  #createContext (transaction: Transaction, parameters: readonly Value[]): RunContext {
    return { transaction, parameters, controlRows: [], readSetting: (name) => this.#readSetting(name) }
  }

  #readSetting (name: string): string | null {
    if (name === 'backend_pid') return String(this.#backendId)
    if (name === 'in_hot_standby') return this.#environment.member.role === 'primary' ? 'off' : 'on'
    if (name === 'transaction_read_only') return this.#transaction?.readOnly === true || this.#environment.member.role !== 'primary' ? 'on' : 'off'
    return this.#sessionSettings.find(name)
  }
}

/** Waits; rejects with 57014 when `signal` ends the wait. */
async function sleep (ms: number, signal: AbortSignal): Promise<void> {
  if (ms <= 0) return
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => {
      signal.removeEventListener('abort', cancel)
      resolve()
    }, ms)
    const cancel = (): void => {
      clearTimeout(timer)
      reject(SqlError.create('57014', 'canceling statement due to user request'))
    }
    signal.addEventListener('abort', cancel, { once: true })
  })
}
