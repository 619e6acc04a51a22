import { serialize } from 'pg-protocol'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { backendMessageTypes } from '../upstream/backend-message-types.js'
import type { ResponseHandler } from '../upstream/response-handler.js'
import type { UpstreamConnection } from '../upstream/upstream-connection.js'

type Settle = (status: DatabaseStatus | undefined) => void

const NAME = 'tanagerusher_status'
const TEXT = 'SELECT database, role, promised_term, log_term, log_position, term_start, "primary", link_silent_ms, connections FROM platform_status()'
/** Closes the statement first, because the session may still have it. */
const PREPARE = Buffer.concat([serialize.close({ type: 'S', name: NAME }), serialize.parse({ name: NAME, text: TEXT })])
const EXECUTE_AND_SYNC = Buffer.concat([serialize.bind({ statement: NAME }), serialize.execute(), serialize.sync()])
const LETTER_P = 0x70

/**
 * Status query that runs after each batch of work. It is prepared once per connection and its row is decoded in place, because
 * it would otherwise cost as much as a short statement.
 */
export class StatusQuery {
  #isPrepared = false

  static create (): StatusQuery {
    return new StatusQuery()
  }

  /** Records that the prepared statements of the session were discarded. */
  clear (): void {
    this.#isPrepared = false
  }

  /** Resolves with undefined when the database returned no status, for example because the connection closed. */
  async run (upstream: UpstreamConnection): Promise<DatabaseStatus | undefined> {
    const bytes = this.#isPrepared ? EXECUTE_AND_SYNC : Buffer.concat([PREPARE, EXECUTE_AND_SYNC])
    this.#isPrepared = true
    const status = await new Promise<DatabaseStatus | undefined>((resolve) => { upstream.send(bytes, new StatusResponseHandler(resolve)) })
    if (status === undefined) this.#isPrepared = false
    return status
  }
}

class StatusResponseHandler implements ResponseHandler {
  readonly #settle: Settle
  #status: DatabaseStatus | undefined

  constructor (settle: Settle) {
    this.#settle = settle
  }

  handleMessage (type: number, message: Buffer): void {
    if (type === backendMessageTypes.dataRow) this.#status = readStatus(message)
  }

  handleReady (_status: TransactionStatus): void {
    this.#settle(this.#status)
  }

  handleClose (): void {
    this.#settle(undefined)
  }
}

/** Reads the columns in the order in which `TEXT` selects them. */
function readStatus (message: Buffer): DatabaseStatus {
  let offset = 7
  const skip = (): number => {
    const length = message.readInt32BE(offset)
    const start = offset + 4
    offset = start + Math.max(0, length)
    return start
  }
  const readText = (): string => message.toString('utf8', skip(), offset)
  const readInteger = (): number => {
    let value = 0
    for (let index = skip(); index < offset; index++) value = value * 10 + (message[index] as number) - 48
    return value
  }
  const database = readText()
  const roleStart = skip()
  const role = message[roleStart] === LETTER_P ? 'primary' : 'replica'
  const promisedTerm = readInteger()
  const log = { term: readInteger(), position: readInteger() }
  const termStart = readInteger()
  const isPrimaryNull = message.readInt32BE(offset) < 0
  const primary = readText()
  return { database, role, promisedTerm, log, termStart, primary: isPrimaryNull ? null : primary, linkSilentMs: readInteger(), connections: readInteger() }
}
