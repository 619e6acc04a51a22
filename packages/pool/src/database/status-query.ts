import { serialize } from 'pg-protocol'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { backendMessage } from '../upstream/backend-message.js'
import type { Exchange } from '../upstream/exchange.js'
import type { UpstreamConnection } from '../upstream/upstream-connection.js'

type Settle = (status: DatabaseStatus | undefined) => void

const NAME = 'tanagerusher_status'
const TEXT = 'SELECT database, role, promised_term, log_term, log_position, term_start, "primary", link_silent_ms, connections FROM platform_status()'
/** Closing first makes preparing safe when it is not known whether the session still has the statement. */
const PREPARE = Buffer.concat([serialize.close({ type: 'S', name: NAME }), serialize.parse({ name: NAME, text: TEXT })])
const RUN = Buffer.concat([serialize.bind({ statement: NAME }), serialize.execute(), serialize.sync()])
const LETTER_P = 0x70

/**
 * Status query that runs behind each piece of work. It is prepared once per connection and its row is read in place,
 * because it costs as much as a short statement otherwise.
 */
export class StatusQuery {
  #isPrepared = false

  static create (): StatusQuery {
    return new StatusQuery()
  }

  /** Statements of the session were discarded. */
  clear (): void {
    this.#isPrepared = false
  }

  /** Undefined when the database gave no status, for example because the connection ended. */
  async run (upstream: UpstreamConnection): Promise<DatabaseStatus | undefined> {
    const bytes = this.#isPrepared ? RUN : Buffer.concat([PREPARE, RUN])
    this.#isPrepared = true
    const status = await new Promise<DatabaseStatus | undefined>((resolve) => { upstream.send(bytes, new StatusExchange(resolve)) })
    if (status === undefined) this.#isPrepared = false
    return status
  }
}

class StatusExchange implements Exchange {
  readonly #settle: Settle
  #status: DatabaseStatus | undefined

  constructor (settle: Settle) {
    this.#settle = settle
  }

  handleMessage (type: number, message: Buffer): void {
    if (type === backendMessage.dataRow) this.#status = readStatus(message)
  }

  handleReady (_status: TransactionStatus): void {
    this.#settle(this.#status)
  }

  handleClose (): void {
    this.#settle(undefined)
  }
}

/** Reads the columns in the order of the query's text. */
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
