import type { Socket } from 'node:net'
import type { CallerCheck } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { CallerCodec, CallerMessage } from '@tanagerusher/coordination/common/caller-codec'
import { decideTransactionFailure } from '@tanagerusher/coordination/outcome/decide-transaction-failure'
import { CallerSessionState } from '@tanagerusher/coordination/session/caller-session-state'
import type { UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { CallerStatement } from '@tanagerusher/state/upstream/caller-statement'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { CallerServices } from './caller-services.js'
import { formatCallerRefusal } from './format-caller-refusal.js'
import { findKeyRefusal } from './find-key-refusal.js'
import type { OpenTransaction } from './open-transaction.js'
import type { SingleStatement } from './single-statement.js'
import type { OperationContext } from './operation-context.js'
import { takeToken } from './take-token.js'

interface CreateOptions {
  socket: Socket
  codec: CallerCodec
  services: CallerServices
  /** Unique in the fleet. */
  name: string
  handleClosed: (task: CallerTask) => void
}

type AllowedCaller = Extract<CallerCheck, { type: 'allowed' }>
type RunStatement = Extract<CallerStatement, { type: 'run' }> | Extract<CallerStatement, { type: 'execute' }>

/** Must stay below 2 s, after which a caller aborts a connection that is not ready. */
const START_WAIT_MS = 1000
const START_CHECK_INTERVAL_MS = 50
/** Fraction of the statement timeout that may be used, so that the response arrives before the timeout. */
const USED_TIMEOUT_FRACTION = 0.95
/** Maximum number of queued messages of one caller; above it the socket is paused. */
const MAXIMUM_PENDING_MESSAGES = 64
/** Proof in the response to a statement that the host completes without a database. */
const NO_PROOF = '-'
const PUBLIC_ORGANISATION = '-'
const STOPPING_REASON = 'the host stops'

/** Handles one caller connection: runs its statements in order and writes a response to each. Owns the socket and the session. */
export class CallerTask {
  readonly #socket: Socket
  readonly #codec: CallerCodec
  readonly #services: CallerServices
  readonly #name: string
  readonly #handleClosed: (task: CallerTask) => void
  readonly #session = CallerSessionState.create()
  #messages: CallerMessage[] = []
  #isRunning = false
  #startParameters: { database: string, key: string | undefined } | undefined
  #transaction: OpenTransaction | undefined
  #transactionCount = 0
  #idleTimer: NodeJS.Timeout | undefined
  #isClosed = false
  /** The connection is closing, so the response to a further request could not be written. */
  #isEnding = false

  private constructor ({ socket, codec, services, name, handleClosed }: CreateOptions) {
    this.#socket = socket
    this.#codec = codec
    this.#services = services
    this.#name = name
    this.#handleClosed = handleClosed
  }

  static create (options: CreateOptions): CallerTask {
    const task = new CallerTask(options)
    const { socket } = options
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => { task.#receive(bytes) })
    socket.on('error', () => { socket.destroy() }) // 'close' follows and ends the session
    socket.on('end', () => { socket.end() })
    socket.once('close', () => { task.#handleSocketClose() })
    return task
  }

  /** Whether no request is in flight and no transaction is open. */
  get isIdle (): boolean { return !this.#isRunning && this.#messages.length === 0 && this.#transaction === undefined }
  get isRunning (): boolean { return this.#isRunning }
  get isInTransaction (): boolean { return this.#transaction !== undefined }

  /** Closes the session if it is idle. Requests that have arrived by now are read first; later ones are not run. */
  closeIdle (): void {
    setImmediate(() => {
      if (!this.isIdle || this.#isEnding) return
      this.#isEnding = true
      this.#socket.end()
    })
  }

  /** Rolls the open transaction back. The response to the caller's next statement in it is that it was aborted. */
  abortTransaction (reason: string): void {
    const transaction = this.#transaction
    if (transaction === undefined || transaction.failure !== undefined || this.#isRunning) return
    transaction.failure = reason
    this.#releaseTransaction(transaction)
  }

  close (): void {
    this.#socket.destroy()
  }

  #receive (bytes: Buffer): void {
    if (this.#isEnding) return
    try {
      this.#messages.push(...this.#codec.read(bytes))
    } catch {
      this.#socket.destroy()
      return
    }
    if (this.#messages.length > MAXIMUM_PENDING_MESSAGES) this.#socket.pause()
    if (!this.#isRunning) void this.#handleMessages()
  }

  async #handleMessages (): Promise<void> {
    this.#isRunning = true
    clearTimeout(this.#idleTimer)
    for (let message = this.#messages.shift(); message !== undefined && !this.#isClosed; message = this.#messages.shift()) {
      await this.#handleMessage(message).catch((error: unknown) => {
        this.#services.logger.error('statement failed', { session: this.#name, reason: String((error as Error).stack) })
        this.#socket.destroy()
      })
    }
    this.#isRunning = false
    this.#socket.resume()
    this.#watchIdleTransaction()
  }

  async #handleMessage (message: CallerMessage): Promise<void> {
    if (message.type === 'quit') {
      this.#isEnding = true
      this.#socket.end()
    } else if (message.type === 'start') await this.#handleStart(message.database, message.key)
    else if (message.type === 'invalid' || this.#startParameters === undefined) this.#refuseConnection('malformed', 'a connection begins with START')
    else await this.#handleStatement(message.id, message.statement)
  }

  async #handleStart (database: string, key: string | undefined): Promise<void> {
    const { clock, logger } = this.#services
    const deadline = Math.min(clock.readTime() + START_WAIT_MS, this.#services.findResponseDeadline() ?? Infinity)
    let check = this.#checkCaller(database, key)
    while (check.type === 'refused' && check.reason === 'stale' && clock.readTime() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, START_CHECK_INTERVAL_MS))
      check = this.#checkCaller(database, key)
    }
    if (check.type === 'allowed') {
      this.#startParameters = { database, key }
      this.#write(this.#codec.formatReady('idle', undefined))
      return
    }
    const { failure, text } = formatCallerRefusal(check.reason)
    logger.info('session refused', { session: this.#name, database, failure, version: this.#services.catalogue.version })
    this.#refuseConnection(failure, text)
  }

  async #handleStatement (id: string, statement: CallerStatement): Promise<void> {
    switch (statement.type) {
      case 'set': this.#session.setValue(statement.name, statement.value); this.#writeLocalResult(); break
      case 'prepare': this.#session.prepare(statement.name, statement); this.#writeLocalResult(); break
      case 'deallocate': this.#session.deallocate(statement.name); this.#writeLocalResult(); break
      case 'malformed': this.#writeFailure(id, 'malformed', 'the statement cannot be read'); break
      case 'rollback': this.#handleRollback(); break
      case 'begin': await this.#handleBegin(id, statement.isReadOnly); break
      case 'commit': await this.#handleCommit(id); break
      default: await this.#handleRun(id, statement)
    }
  }

  #handleRollback (): void {
    const transaction = this.#transaction
    this.#transaction = undefined
    this.#session.state = 'idle'
    if (transaction !== undefined) this.#releaseTransaction(transaction)
    this.#writeLocalResult()
  }

  async #handleBegin (id: string, isReadOnly: boolean): Promise<void> {
    if (this.#session.state !== 'idle') return this.#writeFailure(id, 'malformed', 'a transaction is open')
    if (this.#areTransactionsOver) return this.#writeFailure(id, 'busy', STOPPING_REASON)
    const allowed = await this.#admitStatement(id)
    if (allowed === undefined) return
    const session = `${this.#name}#${++this.#transactionCount}`
    this.#transaction = {
      session, entry: allowed.entry, organisation: allowed.organisation ?? PUBLIC_ORGANISATION, isReadOnly, hasWritten: false, location: undefined, failure: undefined
    }
    this.#session.state = 'transaction'
    this.#writeLocalResult()
  }

  async #handleCommit (id: string): Promise<void> {
    const transaction = this.#transaction
    if (transaction === undefined) {
      this.#writeFailure(id, 'malformed', 'no transaction is open')
      return
    }
    if (this.#areTransactionsOver) transaction.failure ??= STOPPING_REASON
    const refusal = findKeyRefusal(this.#services, transaction, this.#startParameters?.key)
    const result = transaction.failure === undefined && refusal === undefined ? await this.#commit(transaction, id) : undefined
    this.#transaction = undefined
    this.#session.state = 'idle'
    if (result === undefined) {
      this.#releaseTransaction(transaction)
      this.#writeFailure(id, refusal?.failure ?? 'aborted', refusal?.text ?? transaction.failure ?? 'the transaction was not begun')
      return
    }
    const { answer, wasSent } = result
    if (answer.type === 'done') {
      // Without a write the response may come from a replaced primary, whose position later reads could wait for in vain.
      if (transaction.hasWritten) this.#session.recordCommit(answer.position, this.#services.clock.readTime())
      this.#write(this.#codec.formatDone(answer.rows, answer.proof, 'idle', answer.position))
      return
    }
    const { failure, text } = decideTransactionFailure({ answer, wasCommitSent: wasSent })
    this.#releaseTransaction(transaction)
    this.#writeFailure(id, failure, text)
  }

  async #handleRun (id: string, statement: RunStatement): Promise<void> {
    if (this.#session.state === 'failed') {
      this.#writeFailure(id, 'malformed', 'the transaction has failed; end it with ROLLBACK')
      return
    }
    const prepared = statement.type === 'execute' ? this.#session.findPrepared(statement.name) : undefined
    const access = statement.type === 'run' ? statement.access : prepared?.access
    if (access === undefined) {
      this.#failStatement(id, 'unknown-statement', 'no statement of this name is prepared')
      return
    }
    const needed = statement.type === 'execute' && prepared !== undefined ? { name: statement.name, access: prepared.access, shape: prepared.shape } : undefined
    if (this.#transaction !== undefined) await this.#runInTransaction(this.#transaction, { id, text: statement.text, access, needed })
    else await this.#runSingle({ id, text: statement.text, access, needed })
  }

  async #runSingle (statement: SingleStatement): Promise<void> {
    const { id } = statement
    const allowed = await this.#admitStatement(id)
    if (allowed === undefined) return
    const { runner, clock, metrics } = this.#services
    const startedAt = clock.readTime()
    const answer = await runner.runSingle(this.#buildContext(this.#name, allowed), statement)
    metrics.recordStatement(answer.type === 'done' ? 'done' : answer.failure, clock.readTime() - startedAt)
    if (answer.type === 'failed') {
      this.#writeFailure(id, answer.failure, answer.text)
      return
    }
    if (statement.access === 'write') this.#session.recordCommit(answer.position, this.#services.clock.readTime())
    this.#write(this.#codec.formatDone(answer.rows, answer.proof, 'idle', answer.position))
  }

  async #runInTransaction (transaction: OpenTransaction, { id, text, access, needed }: SingleStatement): Promise<void> {
    if (this.#areTransactionsOver) transaction.failure ??= STOPPING_REASON
    if (transaction.failure !== undefined) return this.#failStatement(id, 'aborted', transaction.failure)
    const refusal = findKeyRefusal(this.#services, transaction, this.#startParameters?.key)
    if (refusal !== undefined) return this.#failStatement(id, refusal.failure, refusal.text)
    if (access === 'write' && transaction.isReadOnly) {
      this.#failStatement(id, 'not-primary', 'the transaction only reads')
      return
    }
    transaction.hasWritten ||= access === 'write'
    const answer = await this.#runStatement(transaction, { id, text, access, needed })
    if (answer.type === 'done') {
      this.#write(this.#codec.formatDone(answer.rows, answer.proof, 'transaction', answer.position))
      return
    }
    const { failure, text: reason } = decideTransactionFailure({ answer, wasCommitSent: false })
    this.#failStatement(id, failure, reason)
  }

  /** Runs a statement on the database to which the transaction is pinned. The first statement opens the transaction and pins it. */
  async #runStatement (transaction: OpenTransaction, statement: SingleStatement): Promise<StatementResponse> {
    const { runner } = this.#services
    const context = this.#buildTransactionContext(transaction)
    if (transaction.location !== undefined) {
      const { id, text, access, needed } = statement
      const { result } = await runner.runPinned(context, transaction.location, { type: 'run', id, text, access, transaction: 'joins', isReadOnly: transaction.isReadOnly }, needed)
      return result.answer
    }
    const begun = await runner.begin(context, transaction.isReadOnly, statement)
    if (begun.type === 'failed') return begun
    transaction.location = begun.location
    return begun.answer
  }

  /** Returns undefined when the transaction could not be opened. */
  async #commit (transaction: OpenTransaction, id: string): Promise<UpstreamExecuteResult | undefined> {
    const { runner } = this.#services
    const context = this.#buildTransactionContext(transaction)
    if (transaction.location === undefined) {
      const begun = await runner.begin(context, transaction.isReadOnly, undefined)
      if (begun.type === 'failed') return undefined
      transaction.location = begun.location
    }
    return (await runner.runPinned(context, transaction.location, { type: 'commit', id }, undefined)).result
  }

  /** Checks the key and takes a token. Returns undefined when the statement was refused. */
  async #admitStatement (id: string): Promise<AllowedCaller | undefined> {
    const { budget } = this.#services
    const check = this.#checkCaller(this.#startParameters?.database ?? '', this.#startParameters?.key)
    if (check.type === 'refused') {
      const { failure, text } = formatCallerRefusal(check.reason)
      this.#writeFailure(id, failure, text)
      return undefined
    }
    if (check.organisation === undefined || await takeToken(this.#services, { organisation: check.organisation, targetLatencyMs: check.entry.targetLatencyMs })) return check
    const retryAfterMs = budget.chooseRetryAfterMs(check.organisation)
    this.#services.logger.info('no token', { request: id, organisation: check.organisation, retryAfterMs, ...budget.describe(check.organisation) })
    this.#services.metrics.recordRateRefusal()
    this.#writeFailure(id, 'busy', `the rate of the organisation is used up; retry after ${retryAfterMs} ms`)
    return undefined
  }

  /** Whether the host is stopping and no transaction continues or begins. */
  get #areTransactionsOver (): boolean { return this.#services.clock.readTime() >= (this.#services.findTransactionDeadline() ?? Infinity) }

  #checkCaller (database: string, key: string | undefined): CallerCheck {
    this.#services.checkClocks()
    return this.#services.catalogue.checkCaller(database, key, this.#services.clock.readTime())
  }

  #buildContext (session: string, { entry, organisation }: AllowedCaller): OperationContext {
    return {
      session,
      entry,
      organisation: organisation ?? PUBLIC_ORGANISATION,
      values: this.#session.values,
      floor: this.#session.floor,
      committedAt: this.#session.committedAt,
      deadline: Math.min(this.#services.clock.readTime() + entry.statementTimeoutMs * USED_TIMEOUT_FRACTION, this.#services.findResponseDeadline() ?? Infinity)
    }
  }

  /** Writes the failure of a statement. A transaction that is open can then only be rolled back. */
  #failStatement (id: string, failure: StatementFailure, text: string): void {
    if (this.#transaction !== undefined) this.#failTransaction(this.#transaction, text)
    this.#writeFailure(id, failure, text)
  }

  #failTransaction (transaction: OpenTransaction, reason: string): void {
    transaction.failure ??= reason
    this.#session.state = 'failed'
    this.#releaseTransaction(transaction)
  }

  /** Rolls the transaction back at its database, if it has been opened there. */
  #releaseTransaction (transaction: OpenTransaction): void {
    if (transaction.location !== undefined) this.#services.runner.rollback(this.#buildTransactionContext(transaction), transaction.location)
    transaction.location = undefined
  }

  #buildTransactionContext ({ session, entry, organisation }: OpenTransaction): OperationContext {
    return this.#buildContext(session, { type: 'allowed', entry, organisation })
  }

  #watchIdleTransaction (): void {
    clearTimeout(this.#idleTimer)
    if (this.#transaction === undefined || this.#isClosed) return
    const limitMs = this.#services.catalogue.catalogue?.idleTransactionTimeoutMs
    if (limitMs === undefined) return
    this.#idleTimer = setTimeout(() => { this.abortTransaction(`the transaction rested longer than ${limitMs} ms`) }, limitMs)
  }

  #writeLocalResult (): void {
    this.#write(this.#codec.formatDone([], NO_PROOF, this.#session.state, this.#session.floor))
  }

  #writeFailure (id: string, failure: StatementFailure, text: string): void {
    const { logger, catalogue, clock } = this.#services
    logger.info('statement refused', {
      request: id, session: this.#name, failure, reason: text, state: this.#session.state, version: catalogue.version, proofAgeMs: Math.round(catalogue.readConfirmationAgeMs(clock.readTime()))
    })
    this.#write(this.#codec.formatFailure(failure, text, this.#session.state, this.#session.floor))
  }

  #refuseConnection (failure: StatementFailure, text: string): void {
    this.#write(this.#codec.formatRefusal(failure, text))
    this.#isEnding = true
    this.#socket.end()
  }

  #write (text: string): void {
    if (!this.#socket.destroyed) this.#socket.write(text, 'latin1')
  }

  #handleSocketClose (): void {
    this.#isClosed = true
    clearTimeout(this.#idleTimer)
    const transaction = this.#transaction
    this.#transaction = undefined
    if (transaction !== undefined) this.#releaseTransaction(transaction)
    this.#handleClosed(this)
  }
}
