import { serialize } from 'pg-protocol'
import { listFrontendMessages } from './frontend-messages.js'

interface Work {
  frames: Uint8Array
  statements: ReadonlyArray<{ name: string, parse: Uint8Array }>
}

const QUERY = 0x51
const PARSE = 0x50
const CLOSE = 0x43
const STATEMENT = 0x53

/**
 * Tracks the named statements that are prepared on one upstream connection. Sessions share connections and may use the same name
 * for different statements, so a prepared statement is reused only when its Parse message is identical.
 */
export class PreparedStatements {
  readonly #parseMessages = new Map<string, Buffer>()

  static create (): PreparedStatements {
    return new PreparedStatements()
  }

  /** Returns the messages to send before `frames`, including a Sync, or undefined when all statements are prepared. */
  prepare ({ frames, statements }: Work): Buffer | undefined {
    const messages = statements.flatMap(({ name, parse }) => this.#prepareStatement(name, parse))
    if (frames[0] !== QUERY) messages.push(...this.#prepareRedefined(frames))
    if (messages.length === 0) return undefined
    return Buffer.concat([...messages, serialize.sync()])
  }

  clear (): void {
    this.#parseMessages.clear()
  }

  #prepareStatement (name: string, parse: Uint8Array): Buffer[] {
    const bytes = Buffer.from(parse)
    if (name === '') return [bytes]
    const prepared = this.#parseMessages.get(name)
    if (prepared?.equals(bytes) === true) return []
    this.#parseMessages.set(name, bytes)
    // The caller may have prepared the name by an SQL statement, and PostgreSQL allows closing a name that does not exist.
    return [serialize.close({ type: 'S', name }), bytes]
  }

  #prepareRedefined (frames: Uint8Array): Buffer[] {
    const messages: Buffer[] = []
    for (const { type, message } of listFrontendMessages(frames)) {
      if (type === CLOSE && message[5] === STATEMENT) this.#parseMessages.delete(readName(message, 6))
      if (type !== PARSE) continue
      const name = readName(message, 5)
      if (name === '') continue
      if (this.#parseMessages.has(name)) messages.push(serialize.close({ type: 'S', name }))
      this.#parseMessages.set(name, Buffer.from(message))
    }
    return messages
  }
}

function readName (message: Buffer, offset: number): string {
  return message.toString('utf8', offset, message.indexOf(0, offset))
}
