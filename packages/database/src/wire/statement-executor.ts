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
 * Runs the compiled statements of one session in its transaction, and holds a slot from the first statement of a transaction
 * to its end. Methods return a promise only when the statement has to wait, because simple statements are frequent.
 */
export class StatementExecutor {
  readonly #environment: SessionEnvironment
  readonly #sessionSettings: SessionSettings
  readonly #backendId: number
  #transaction: Transaction | undefined
  #isExplicit = false
  #isFailed = false
  #holdsSlot = false
  #abortController: AbortController | undefined
  /** Whether the statement executes, i.e. waits neither for a slot nor for a lock. It then continues even when its client disconnects. */
  #isExecuting = false

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

  /** Begins an explicit transaction; has no effect within one. `readOnly` overrides the default of the session. */
  begin (readOnly: boolean | undefined): void {
    if (this.#isExplicit) return
    const transaction = this.#ensureTransaction()
    transaction.readOnly = readOnly ?? transaction.readOnly
    this.#isExplicit = true
  }

  setReadOnly (readOnly: boolean): void {
    if (this.#transaction !== undefined) this.#transaction.readOnly = readOnly
  }

  /**
   * Ends the explicit transaction. `committed` is false when it was rolled back because a statement had failed; `wrote` is
   * whether a commit wrote changes.
   */
  commit (): { committed: boolean, wrote: boolean } {
    if (!this.#isFailed) return { committed: true, wrote: this.#commitTransaction() }
    this.rollback()
    return { committed: false, wrote: false }
  }

  /** Commits the implicit transaction, if there is one. Returns whether it wrote changes. */
  commitImplicit (): boolean {
    return this.#isExplicit ? false : this.#commitTransaction()
  }

  rollback (): void {
    this.#transaction?.rollback()
    this.#reset()
  }

  /** Records a failed statement. An explicit transaction can then only be rolled back; an implicit one is rolled back immediately. */
  recordFailure (): void {
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
    if (!this.#tryTakeSlot() || this.#hasDelay(plan)) return this.#runDelayed(plan, parameters, transaction)
    const context = this.#createContext(transaction, parameters)
    try {
      return this.#runPlan(plan, context)
    } catch (error) {
      if (error instanceof LockWait) return this.#runAfterLockWait(error.holder, plan, context)
      throw error
    }
  }

  /** Cancels the current statement, if there is one, after a cancel request or a crash. */
  cancel (): void {
    this.#abortController?.abort()
  }

  /** Cancels a statement that waits and has not begun to execute. */
  cancelWait (): void {
    if (!this.#isExecuting) this.#abortController?.abort()
  }

  #ensureTransaction (): Transaction {
    this.#transaction ??= this.#environment.member.begin(this.#sessionSettings.isReadOnly)
    return this.#transaction
  }

  #commitTransaction (): boolean {
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

  #tryTakeSlot (): boolean {
    this.#holdsSlot ||= this.#environment.slots.tryTake()
    return this.#holdsSlot
  }

  #hasDelay (plan: Plan): boolean {
    const { settings, faults, member } = this.#environment
    return plan.sleepSeconds !== null || settings.serviceTimeMs + faults.readExtraServiceMs(member.name) > 0
  }

  async #runDelayed (plan: Plan, parameters: readonly Value[], transaction: Transaction): Promise<PlanResult> {
    const { slots, settings, faults, member } = this.#environment
    const context = this.#createContext(transaction, parameters)
    await this.#runCancellable(async (signal) => {
      if (!this.#holdsSlot) {
        await slots.take(signal)
        this.#holdsSlot = true
      }
      const sleepMs = Number(plan.sleepSeconds?.evaluate([], context) ?? 0) * 1000
      this.#isExecuting = true
      await sleep(settings.serviceTimeMs + faults.readExtraServiceMs(member.name) + sleepMs, signal)
      await faults.waitWhilePaused(member.name)
      if (signal.aborted) throw SqlError.create('57014', 'canceling statement due to user request')
    })
    // The role can change during the wait.
    if (plan.isWrite) transaction.checkWritable(plan.command)
    try {
      return this.#runPlan(plan, context)
    } catch (error) {
      if (error instanceof LockWait) return await this.#runAfterLockWait(error.holder, plan, context)
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
   * Waits for the end of the transaction that holds a row lock, then runs the statement again. If that transaction
   * committed, an INSERT finds the row, a statement outside of an explicit transaction applies to the new version of the row,
   * and any other statement in an explicit transaction fails with 40001.
   */
  async #runAfterLockWait (holder: Transaction, plan: Plan, context: RunContext): Promise<PlanResult> {
    const { transaction } = context
    for (let next = holder; ;) {
      transaction.waitsFor = next
      try {
        await this.#runCancellable((signal) => next.waitForEnd(signal))
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

  /** Control functions need no slot, so that they return results when all slots are in use. */
  #runControl (plan: Plan, parameters: readonly Value[]): PlanResult | Promise<PlanResult> {
    const { member, waiters, faults } = this.#environment
    const transaction = this.#transaction ?? member.begin(true)
    const context = this.#createContext(transaction, parameters)
    const { name, parameters: expressions } = plan.control as NonNullable<Plan['control']>
    const values = expressions.map(({ evaluate }) => evaluate([], context))
    if (name !== 'platform_wait') return plan.run({ ...context, controlRows: callControlFunction({ name, parameters: values, member }) })
    const abort = new AbortController()
    this.#abortController = abort
    return waitForChange({ parameters: values, member, waiters, signal: abort.signal }).then(async (controlRows) => {
      this.#abortController = undefined
      await faults.waitWhilePaused(member.name)
      if (abort.signal.aborted) throw SqlError.create('57014', 'canceling statement due to user request')
      return plan.run({ ...context, controlRows })
    })
  }

  async #runCancellable (wait: (signal: AbortSignal) => Promise<void>): Promise<void> {
    const abort = new AbortController()
    this.#abortController = abort
    try {
      await wait(abort.signal)
    } finally {
      this.#abortController = undefined
      this.#isExecuting = false
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

/** Waits for `ms`; rejects with 57014 when `signal` aborts the wait. */
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
