import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { classifyStatement } from '@tanagerusher/protocol/postgres/classify-statement'
import type { StatementClass } from '@tanagerusher/protocol/postgres/statement-class'
import type { FrontendFrame } from '@tanagerusher/protocol/postgres/frontend-frame'
import { frontendTypes } from '@tanagerusher/protocol/postgres/frontend-types'
import { parseExtendedMessage, type ExtendedMessage } from '@tanagerusher/protocol/postgres/parse-extended-message'
import { parseStatementComment } from '@tanagerusher/protocol/postgres/parse-statement-comment'
import type { StatementComment } from '@tanagerusher/protocol/postgres/statement-comment'
import type { Batch } from './batch.js'
import { StatementStore } from './statement-store.js'
import type { StoredStatement } from './stored-statement.js'

interface CreateOptions {
  maximumStatements: number
  maximumMessages: number
  maximumBytes: number
}

const HEADER_BYTES = 5
const SYNC = Buffer.from([0x53, 0, 0, 0, 4])
// Parse of an empty unnamed statement. Its ParseComplete takes the place of the response to a named Parse, which the pool
// runs separately from the batch.
const PLACEHOLDER_PARSE = Buffer.from([0x50, 0, 0, 0, 8, 0, 0, 0, 0])
// Close of a portal that never exists. Its CloseComplete takes the place of the response to the Close of a statement, which
// stays prepared at the upstream for other sessions.
const PLACEHOLDER_CLOSE = Buffer.from([0x43, 0, 0, 0, 12, 0x50, ...Buffer.from('t_none\0')])

/** Collects frontend messages into batches. Owns the prepared statements and open portals of the session. */
export class BatchBuilder {
  readonly #options: CreateOptions
  readonly #statements: StatementStore
  readonly #portals = new Map<string, StoredStatement>()
  #batch: Batch = createBatch('extended')
  #parts: Buffer[] = []
  #partsBytes = 0
  /** True when the unnamed statement was parsed in this batch, so that the unnamed statement at the upstream is the caller's. */
  #isUnnamedParsed = false
  #statementNames = new Set<string>()

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#statements = StatementStore.create(options)
  }

  static create (options: CreateOptions): BatchBuilder {
    return new BatchBuilder(options)
  }

  /** Adds the next message. Returns the batch when the message completes one. */
  add (frame: FrontendFrame): Batch | undefined {
    if (frame.type === frontendTypes.query) return this.#buildSimple(frame.bytes)
    if (frame.type === frontendTypes.sync) return this.#buildExtended()
    if (frame.type === frontendTypes.functionCall) return createRejected('simple', createUnsupported('The function call message'))
    if (frame.type === frontendTypes.copyData || frame.type === frontendTypes.copyDone || frame.type === frontendTypes.copyFail) return undefined
    if (this.#batch.error !== undefined) return undefined
    try {
      this.#addExtended(frame)
    } catch (error) {
      this.#rejectBatch(error)
    }
    return undefined
  }

  /** Removes all portals; called at the end of a transaction. */
  closePortals (): void {
    this.#portals.clear()
  }

  /** Removes the statements that a failed batch added. */
  removeStatements (names: readonly string[]): void {
    for (const name of names) this.#statements.remove(name)
  }

  #buildSimple (bytes: Buffer): Batch {
    this.#statements.remove('')
    const batch = createBatch('simple')
    if (bytes.at(-1) !== 0) return createRejected('simple', createViolation('the query is not terminated'))
    const text = bytes.toString('utf8', HEADER_BYTES, bytes.length - 1)
    const comment = parseStatementComment(text)
    if (comment.isErr()) return createRejected('simple', comment.error)
    const statementClass = classifyStatement(text)
    batch.frames = bytes
    batch.comment = comment.value
    applyClass(batch, statementClass)
    batch.count = statementClass.count
    batch.isReadOnlyBegin = statementClass.isReadOnlyBegin
    if (statementClass.unsupported !== undefined) batch.error = createUnsupported(statementClass.unsupported)
    return batch
  }

  #buildExtended (): Batch {
    const batch = this.#batch
    if (this.#parts.length > 0) batch.frames = Buffer.concat([...this.#parts, SYNC])
    if (batch.count > 1) batch.isReadOnlyBegin = false
    if (batch.begins && !batch.isReadOnlyBegin) batch.access = 'write'
    this.#batch = createBatch('extended')
    this.#parts = []
    this.#partsBytes = 0
    this.#isUnnamedParsed = false
    this.#statementNames = new Set()
    return batch
  }

  #addExtended ({ type, bytes }: FrontendFrame): void {
    if (type === frontendTypes.flush) throw createUnsupported('The Flush message')
    if (!isExtendedType(type)) throw createViolation(`unknown message type ${type}`)
    const message = parseExtendedMessage(type, bytes)
    this.#batch.messageTypes.push(type)
    if (this.#batch.messageTypes.length > this.#options.maximumMessages) throw createViolation(`more than ${this.#options.maximumMessages} messages before a Sync`)
    this.#addPart(this.#translate(message, bytes))
  }

  /** Records the statements that the message uses and returns the message to send upstream. */
  #translate (message: ExtendedMessage, bytes: Buffer): Buffer {
    if (message.type === 'parse') return this.#translateParse(message.statement, message.text, bytes)
    if (message.type === 'bind') return this.#translateBind(message.portal, message.statement, bytes)
    if (message.type === 'execute') return this.#translateExecute(message.portal, bytes)
    if (message.target === 'P') return bytes
    if (message.type === 'close') {
      this.#statements.remove(message.name)
      return PLACEHOLDER_CLOSE
    }
    const statement = this.#statements.find(message.name)
    if (statement === undefined || this.#isUnnamedUpstream(message.name)) return bytes
    return replaceName(bytes, HEADER_BYTES + 1, message.name, this.#addUpstreamStatement(statement))
  }

  #translateParse (name: string, text: string, bytes: Buffer): Buffer {
    const statement = this.#statements.add(name, text, bytes)
    if (statement.statementClass.unsupported !== undefined) {
      this.#statements.remove(name)
      throw createUnsupported(statement.statementClass.unsupported)
    }
    if (name !== '') this.#batch.addedNames.push(name)
    this.#recordStatement(statement)
    this.#isUnnamedParsed = name === ''
    if (name === '') return bytes
    this.#addUpstreamStatement(statement)
    return PLACEHOLDER_PARSE
  }

  #translateBind (portal: string, name: string, bytes: Buffer): Buffer {
    const statement = this.#statements.find(name)
    if (statement === undefined) return bytes
    this.#portals.set(portal, statement)
    this.#recordStatement(statement)
    if (this.#isUnnamedUpstream(name)) return bytes
    return replaceName(bytes, HEADER_BYTES + Buffer.byteLength(portal) + 1, name, this.#addUpstreamStatement(statement))
  }

  #translateExecute (portal: string, bytes: Buffer): Buffer {
    const statement = this.#portals.get(portal)
    this.#batch.count++
    if (statement === undefined) this.#batch.access = 'write'
    else this.#recordExecution(statement)
    return bytes
  }

  #isUnnamedUpstream (name: string): boolean {
    return name === '' && this.#isUnnamedParsed
  }

  #addUpstreamStatement (statement: StoredStatement): string {
    const name = statement.upstreamName
    if (!this.#statementNames.has(name)) {
      this.#statementNames.add(name)
      this.#batch.statements.push({ name, parse: statement.parse })
      this.#addBytes(statement.parse.length)
    }
    return name
  }

  #recordStatement ({ statementClass, comment }: StoredStatement): void {
    if (statementClass.access === 'write') this.#batch.access = 'write'
    this.#batch.comment = mergeComments(this.#batch.comment, comment)
  }

  #recordExecution ({ statementClass }: StoredStatement): void {
    applyClass(this.#batch, statementClass)
    this.#batch.isReadOnlyBegin = statementClass.isReadOnlyBegin
  }

  #addPart (part: Buffer): void {
    this.#addBytes(part.length)
    this.#parts.push(part)
  }

  #addBytes (bytes: number): void {
    this.#partsBytes += bytes
    if (this.#partsBytes > this.#options.maximumBytes) throw createViolation(`more than ${this.#options.maximumBytes} bytes before a Sync`)
  }

  /** Rejects the batch: nothing of it is sent, and further messages up to the Sync are discarded. */
  #rejectBatch (error: unknown): void {
    this.removeStatements(this.#batch.addedNames)
    this.#batch.error = error instanceof TanagerusherError ? error : createViolation(String(error))
    this.#parts = []
  }
}

function createBatch (type: Batch['type']): Batch {
  return {
    type,
    frames: SYNC,
    statements: [],
    messageTypes: [],
    access: 'read',
    count: 0,
    begins: false,
    isReadOnlyBegin: false,
    ends: false,
    commits: false,
    comment: {},
    addedNames: [],
    error: undefined
  }
}

function createRejected (type: Batch['type'], error: TanagerusherError): Batch {
  return { ...createBatch(type), error }
}

function applyClass (batch: Batch, { access, begins, ends, commits }: StatementClass): void {
  if (access === 'write') batch.access = 'write'
  if (begins) batch.begins = true
  if (ends) batch.ends = true
  if (commits) batch.commits = true
}

function mergeComments (left: StatementComment, right: StatementComment): StatementComment {
  if (left.idempotencyKey !== undefined && right.idempotencyKey !== undefined && left.idempotencyKey !== right.idempotencyKey) {
    throw createViolation('one batch has two idempotency keys')
  }
  return { ...left, ...right }
}

function isExtendedType (type: number): boolean {
  return type === frontendTypes.parse || type === frontendTypes.bind || type === frontendTypes.describe ||
    type === frontendTypes.execute || type === frontendTypes.close
}

/** Copies a message and replaces the string at `start`. */
function replaceName (bytes: Buffer, start: number, oldName: string, newName: string): Buffer {
  const tail = bytes.subarray(start + Buffer.byteLength(oldName))
  const replaced = Buffer.allocUnsafe(start + newName.length + tail.length)
  bytes.copy(replaced, 0, 0, start)
  replaced.write(newName, start, 'latin1')
  tail.copy(replaced, start + newName.length)
  replaced.writeUInt32BE(replaced.length - 1, 1)
  return replaced
}

function createUnsupported (feature: string): TanagerusherError {
  return TanagerusherError.create('unsupported', { details: { feature } })
}

function createViolation (reason: string): TanagerusherError {
  return TanagerusherError.create('protocol-violation', { details: { reason } })
}
