import { randomInt } from 'node:crypto'
import type { Socket } from 'node:net'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import { typeIdentifiers } from '../ledger/type-identifiers.js'
import type { SessionCommand } from '../sql/parsed-statement.js'
import type { Plan } from '../sql/plan.js'
import type { PlanResult } from '../sql/plan-result.js'
import type { StatementInstance } from '../sql/statement-instance.js'
import { BackendWriter } from './backend-writer.js'
import { BodyReader } from './body-reader.js'
import { decodeParameter } from './decode-parameter.js'
import { findTypeByIdentifier } from './find-type-by-identifier.js'
import type { FrontendMessage } from './frontend-message.js'
import type { ExecutableStatement, PreparedStatement } from './prepared-statement.js'
import type { SessionEnvironment } from './session-environment.js'
import { SessionSettings } from './session-settings.js'
import { StatementExecutor } from './statement-executor.js'

interface CreateOptions {
  environment: SessionEnvironment
  socket: Socket
  /** Sends bytes to the client, subject to the latency and the faults. */
  send: (bytes: Buffer) => void
  /** Closes the connection after the bytes that were sent. */
  end: () => void
  processId: number
  startup: ReadonlyMap<string, string>
  writer: BackendWriter
}

interface Portal {
  statement: ExecutableStatement
  parameters: readonly Value[]
  /** Remaining rows; absent before the first Execute. */
  rows?: Iterator<readonly Value[]>
  sentRows: number
}

type MaybePromise = void | Promise<void>

const FLUSH_BYTES = 64 * 1024
const MAX_UNSENT_BYTES = 1024 * 1024
const SHOW_COLUMN_TYPE = 'text' as const

/** Session of an authenticated client: runs simple and extended queries in order. Methods return promises only where they have to wait. */
export class WireSession {
  readonly processId: number
  readonly secret = randomInt(0x7fff_ffff)
  readonly #environment: SessionEnvironment
  readonly #socket: Socket
  readonly #send: (bytes: Buffer) => void
  readonly #end: () => void
  readonly #writer: BackendWriter
  readonly #settings: SessionSettings
  readonly #executor: StatementExecutor
  readonly #statements = new Map<string, PreparedStatement>()
  readonly #portals = new Map<string, Portal>()
  /** After an error in an extended query, all messages up to Sync are skipped. */
  #isSkippingToSync = false
  #isClosed = false
  /** Length of the complete responses in the writer; the bytes after them belong to the message that is being handled. */
  #completedBytes = 0

  private constructor ({ environment, socket, send, end, processId, startup, writer }: CreateOptions) {
    this.#environment = environment
    this.#socket = socket
    this.#send = send
    this.#end = end
    this.#writer = writer
    this.processId = processId
    this.#settings = SessionSettings.create(startup)
    this.#executor = StatementExecutor.create({ environment, sessionSettings: this.#settings, backendId: processId })
  }

  static create (options: CreateOptions): WireSession {
    return new WireSession(options)
  }

  /** Sends the messages that follow a successful authentication. */
  start (): void {
    const writer = this.#writer
    for (const [name, display] of [['server_version', 'server_version'], ['server_encoding', 'server_encoding'], ['client_encoding', 'client_encoding'],
      ['application_name', 'application_name'], ['datestyle', 'DateStyle'], ['integer_datetimes', 'integer_datetimes'],
      ['standard_conforming_strings', 'standard_conforming_strings'], ['timezone', 'TimeZone']] as const) writer.addParameterStatus(display, this.#settings.read(name))
    writer.addBackendKeyData(this.processId, this.secret)
    writer.addReadyForQuery('I')
    this.flush()
  }

  /** Sends the encoded responses. It is called when no message is left to handle, so that pipelined responses are sent in one batch. */
  flush (): void {
    this.#completedBytes = 0
    if (!this.#isClosed && this.#writer.length > 0) this.#send(this.#writer.take())
  }

  /** Handles one message. `next` is the message after it, if that has already arrived. */
  handle (message: FrontendMessage, next: FrontendMessage | undefined): MaybePromise {
    if (this.#isClosed || (this.#isSkippingToSync && message.type !== 'S' && message.type !== 'X')) return
    try {
      const pending = this.#dispatch(message, next)
      if (pending instanceof Promise) return pending.catch((error: unknown) => { this.#handleError(error, message) })
    } catch (error) {
      this.#handleError(error, message)
    }
  }

  cancel (): void {
    this.#executor.cancel()
  }

  /**
   * Must be called when the client has disconnected. Cancels a statement that waits; a running statement continues, as on a
   * real server, and must be followed by `rollback`.
   */
  close (): void {
    this.#isClosed = true
    this.#executor.cancelWait()
  }

  /** Rolls back an open transaction; to be called after the last statement has ended. */
  rollback (): void {
    this.#executor.rollback()
  }

  #dispatch ({ type, body }: FrontendMessage, next: FrontendMessage | undefined): MaybePromise {
    switch (type) {
      case 'Q': return this.#runQuery(BodyReader.create(body).readText())
      case 'P': return this.#parse(BodyReader.create(body))
      case 'B': return this.#bind(BodyReader.create(body))
      case 'D': return this.#describe(BodyReader.create(body))
      case 'E': return this.#execute(BodyReader.create(body), next?.type === 'S')
      case 'C': return this.#closeObject(BodyReader.create(body))
      case 'S': return this.#sync()
      case 'H': return
      case 'X': return this.#end()
      // The protocol requires that messages of a COPY that was never started are ignored.
      case 'd': case 'c': case 'f': return
      default: throw SqlError.create('08P01', `unexpected message type ${type}`)
    }
  }

  #runQuery (text: string): MaybePromise {
    const instances = this.#environment.parser.parse(text)
    if (instances.length === 0) this.#writer.addEmpty('I')
    const pending = this.#runInstances(instances, 0)
    if (pending instanceof Promise) return pending.then(() => { this.#finishQuery() })
    this.#finishQuery()
  }

  #runInstances (instances: StatementInstance[], start: number): MaybePromise {
    for (let index = start; index < instances.length; index++) {
      const instance = instances[index] as StatementInstance
      const statement = this.#prepare({ instance, declaredTypes: [] })
      if (statement.type === 'plan' && statement.plan.columns !== null) this.#writer.addRowDescription(statement.plan.columns)
      else if (statement.type === 'session') this.#describeCommand(statement.command)
      const portal: Portal = { statement, parameters: decodeLiterals(instance, statement), sentRows: 0 }
      const pending = this.#runPortal(portal, 0, index === instances.length - 1)
      if (pending instanceof Promise) return pending.then(() => this.#runInstances(instances, index + 1))
    }
  }

  #finishQuery (): void {
    this.#portals.clear()
    this.#applyCommitFault(this.#executor.commitImplicit())
    this.#addReadyForQuery()
  }

  #parse (reader: BodyReader): void {
    const name = reader.readText()
    const instances = this.#environment.parser.parse(reader.readText())
    if (instances.length > 1) throw SqlError.create('42601', 'cannot insert multiple commands into a prepared statement')
    if (name !== '' && this.#statements.has(name)) throw SqlError.create('42P05', `prepared statement "${name}" already exists`)
    const declaredTypes = Array.from({ length: reader.readInt16() }, () => findTypeByIdentifier(reader.readInt32()))
    while (declaredTypes.length > 0 && declaredTypes.at(-1) === undefined) declaredTypes.pop()
    const prepared = { instance: instances[0], declaredTypes }
    this.#prepare(prepared)
    this.#statements.set(name, prepared)
    this.#writer.addEmpty('1')
  }

  #bind (reader: BodyReader): void {
    const portalName = reader.readText()
    const prepared = this.#findStatement(reader.readText())
    const statement = this.#prepare(prepared)
    const formats = Array.from({ length: reader.readInt16() }, () => reader.readInt16())
    const count = reader.readInt16()
    const expected = prepared.instance?.parameterCount ?? 0
    if (count !== expected) throw SqlError.create('08P01', `bind message supplies ${count} parameters, but the statement requires ${expected}`)
    const types = statement.type === 'plan' ? statement.plan.parameterTypes : []
    const values = Array.from({ length: count }, (_, index) => {
      const length = reader.readInt32()
      const bytes = length < 0 ? null : reader.readBytes(length)
      return decodeParameter(bytes, (formats.length === 1 ? formats[0] : formats[index]) === 1, types[index] ?? 'text')
    })
    const resultFormats = Array.from({ length: reader.readInt16() }, () => reader.readInt16())
    if (resultFormats.includes(1)) throw SqlError.create('0A000', 'binary results are not supported')
    const parameters = prepared.instance === undefined ? values : [...values, ...decodeLiterals(prepared.instance, statement).slice(count)]
    this.#portals.set(portalName, { statement, parameters, sentRows: 0 })
    this.#writer.addEmpty('2')
  }

  #describe (reader: BodyReader): void {
    const isStatement = reader.readByte() === 0x53
    const name = reader.readText()
    const statement = isStatement ? this.#prepare(this.#findStatement(name)) : this.#findPortal(name).statement
    if (isStatement) {
      const count = this.#findStatement(name).instance?.parameterCount ?? 0
      const types = statement.type === 'plan' ? statement.plan.parameterTypes.slice(0, count) : []
      this.#writer.addParameterDescription(types.map((type) => typeIdentifiers[type]))
    }
    if (statement.type === 'plan' && statement.plan.columns !== null) this.#writer.addRowDescription(statement.plan.columns)
    else if (statement.type !== 'session' || !this.#describeCommand(statement.command)) this.#writer.addEmpty('n')
  }

  #execute (reader: BodyReader, isLast: boolean): MaybePromise {
    const portal = this.#findPortal(reader.readText())
    return this.#runPortal(portal, reader.readInt32(), isLast)
  }

  #closeObject (reader: BodyReader): void {
    const isStatement = reader.readByte() === 0x53
    const name = reader.readText()
    if (isStatement) this.#statements.delete(name)
    else this.#portals.delete(name)
    this.#writer.addEmpty('3')
  }

  #sync (): void {
    this.#isSkippingToSync = false
    if (this.#executor.status === 'I') this.#portals.clear()
    this.#applyCommitFault(this.#executor.commitImplicit())
    this.#addReadyForQuery()
  }

  /** Runs a portal up to `limit` rows (0: all). With `isLast`, an implicit transaction commits before the response. */
  #runPortal (portal: Portal, limit: number, isLast: boolean): MaybePromise {
    const { statement } = portal
    if (statement.type === 'empty') return this.#writer.addEmpty('I')
    if (statement.type === 'session') return this.#runCommand(statement.command)
    if (portal.rows !== undefined) return this.#sendRows(portal, limit)
    const { plan } = statement
    const result = this.#executor.run(plan, portal.parameters)
    if (result instanceof Promise) return result.then((value) => this.#sendResult(plan, portal, value, limit, isLast))
    return this.#sendResult(plan, portal, result, limit, isLast)
  }

  #sendResult (plan: Plan, portal: Portal, { count, rows }: PlanResult, limit: number, isLast: boolean): MaybePromise {
    // Commits before CommandComplete, because a write whose commit fails must not be reported as complete.
    if (isLast && plan.isWrite) this.#applyCommitFault(this.#executor.commitImplicit())
    if (rows === null) {
      this.#writer.addCommandComplete(formatTag(plan.command, count))
      return
    }
    portal.rows = rows[Symbol.iterator]()
    return this.#sendRows(portal, limit, plan.command === 'SELECT' ? undefined : formatTag(plan.command, count))
  }

  #sendRows (portal: Portal, limit: number, tag?: string): MaybePromise {
    const rows = portal.rows as Iterator<readonly Value[]>
    let remaining = limit === 0 ? Infinity : limit
    while (remaining > 0) {
      const { done, value } = rows.next()
      if (done === true) {
        this.#writer.addCommandComplete(tag ?? `SELECT ${portal.sentRows}`)
        return
      }
      remaining--
      portal.sentRows++
      this.#writer.addDataRow(value)
      if (this.#writer.length < FLUSH_BYTES) continue
      this.flush()
      if (this.#socket.writableLength > MAX_UNSENT_BYTES && remaining > 0) {
        return this.#waitForDrain().then(() => this.#sendRows(portal, remaining === Infinity ? 0 : remaining, tag))
      }
    }
    this.#writer.addEmpty('s')
  }

  /** Waits until the client has read the sent bytes, so that a large result does not fill the memory. */
  async #waitForDrain (): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        this.#socket.off('drain', finish)
        this.#socket.off('close', finish)
        resolve()
      }
      this.#socket.once('drain', finish)
      this.#socket.once('close', finish)
    })
    if (this.#isClosed) throw SqlError.create('08006', 'connection closed')
  }

  #prepare ({ instance, declaredTypes }: PreparedStatement): ExecutableStatement {
    if (instance === undefined) return { type: 'empty' }
    if (instance.parsed.kind === 'session') return { type: 'session', command: instance.parsed.command }
    return { type: 'plan', plan: this.#environment.plans.findOrCompile(instance, declaredTypes, this.#executor.transaction) }
  }

  /** Describes the result of a command; returns false when the command has no result. */
  #describeCommand (command: SessionCommand): boolean {
    if (command.type !== 'show') return false
    this.#writer.addRowDescription([{ name: command.name, type: SHOW_COLUMN_TYPE }])
    return true
  }

  #runCommand (command: SessionCommand): void {
    const executor = this.#executor
    switch (command.type) {
      case 'begin':
        executor.checkNotFailed()
        executor.begin(command.writeable && command.writeable === 'read only')
        return this.#addCommandComplete('BEGIN')
      case 'commit': {
        const { committed, wrote } = executor.commit()
        this.#applyCommitFault(wrote)
        return this.#addCommandComplete(committed ? 'COMMIT' : 'ROLLBACK')
      }
      case 'rollback':
        executor.rollback()
        return this.#addCommandComplete('ROLLBACK')
      case 'set transaction':
        executor.setReadOnly(command.readOnly)
        return this.#addCommandComplete('SET')
      default:
        executor.checkNotFailed()
        return this.#runSettingCommand(command)
    }
  }

  #runSettingCommand (command: SessionCommand): void {
    switch (command.type) {
      case 'set':
        this.#settings.write(command.name, command.value)
        if (command.name === 'application_name') this.#writer.addParameterStatus('application_name', command.value ?? '')
        return this.#addCommandComplete('SET')
      case 'reset':
        this.#settings.reset(command.name)
        return this.#addCommandComplete('RESET')
      case 'show':
        this.#writer.addDataRow([this.#readSetting(command.name)])
        return this.#addCommandComplete('SHOW')
      case 'discard':
        if (this.#executor.status !== 'I') throw SqlError.create('25001', 'DISCARD ALL cannot run inside a transaction block')
        this.#settings.reset('all')
        this.#statements.clear()
        this.#portals.clear()
        return this.#addCommandComplete('DISCARD ALL')
      case 'deallocate':
        if (command.name === null) this.#statements.clear()
        else this.#statements.delete(command.name)
        return this.#addCommandComplete('DEALLOCATE')
    }
  }

  #readSetting (name: string): string {
    const { member } = this.#environment
    if (name === 'in_hot_standby') return member.role === 'primary' ? 'off' : 'on'
    if (name === 'transaction_read_only') {
      const readOnly = this.#executor.transaction?.readOnly ?? this.#settings.isReadOnly
      return readOnly || member.role !== 'primary' ? 'on' : 'off'
    }
    return this.#settings.read(name)
  }

  #addCommandComplete (tag: string): void {
    this.#writer.addCommandComplete(tag)
  }

  /** Closes the connection without a response when the commit wrote changes and the `dropCommitAnswers` fault applies. */
  #applyCommitFault (wrote: boolean): void {
    if (!wrote || !this.#environment.faults.takeDroppedCommitResponse(this.#environment.member.name)) return
    this.#isClosed = true
    this.#send(this.#writer.take().subarray(0, this.#completedBytes))
    this.#end()
  }

  #findStatement (name: string): PreparedStatement {
    const statement = this.#statements.get(name)
    if (statement === undefined) throw SqlError.create('26000', `prepared statement "${name}" does not exist`)
    return statement
  }

  #findPortal (name: string): Portal {
    const portal = this.#portals.get(name)
    if (portal === undefined) throw SqlError.create('34000', `portal "${name}" does not exist`)
    return portal
  }

  #handleError (error: unknown, { type }: FrontendMessage): void {
    const { sqlState, message } = error instanceof SqlError
      ? error
      : error instanceof RangeError ? { sqlState: '08P01', message: `malformed message: ${error.message}` } : { sqlState: 'XX000', message: String(error) }
    this.#executor.recordFailure()
    this.#writer.addError('ERROR', sqlState, message)
    if (type === 'Q' || type === 'S') this.#addReadyForQuery()
    else this.#isSkippingToSync = true
  }

  #addReadyForQuery (): void {
    this.#writer.addReadyForQuery(this.#executor.status)
    this.#completedBytes = this.#writer.length
    if (this.#writer.length > FLUSH_BYTES) this.flush()
  }
}

function formatTag (command: Plan['command'], count: number): string {
  if (command === 'CREATE TABLE') return command
  return command === 'INSERT' ? `INSERT 0 ${count}` : `${command} ${count}`
}

/** Returns the values of the literals that were extracted from the text, after nulls in place of the client's parameters. */
function decodeLiterals ({ parameterCount, literals }: StatementInstance, statement: ExecutableStatement): Value[] {
  if (statement.type !== 'plan') return []
  const { parameterTypes } = statement.plan
  const values = new Array<Value>(parameterCount).fill(null)
  for (const [index, literal] of literals.entries()) {
    values.push(decodeParameter(Buffer.from(String(literal)), false, parameterTypes[parameterCount + index] ?? 'text'))
  }
  return values
}
