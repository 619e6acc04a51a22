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
 * Named statements that one upstream connection holds. Sessions share connections and use the same names for different
 * statements, so a name is trusted only when its Parse message is the same.
 */
export class PreparedStatements {
  readonly #held = new Map<string, Buffer>()

  static create (): PreparedStatements {
    return new PreparedStatements()
  }

  /** Messages to send before `frames`, up to a Sync; undefined when nothing is missing. */
  prepare ({ frames, statements }: Work): Buffer | undefined {
    const messages = statements.flatMap(({ name, parse }) => this.#prepareStatement(name, parse))
    if (frames[0] !== QUERY) messages.push(...this.#closeRedefined(frames))
    if (messages.length === 0) return undefined
    return Buffer.concat([...messages, serialize.sync()])
  }

  clear (): void {
    this.#held.clear()
  }

  #prepareStatement (name: string, parse: Uint8Array): Buffer[] {
    const bytes = Buffer.from(parse)
    if (name === '') return [bytes]
    const held = this.#held.get(name)
    if (held?.equals(bytes) === true) return []
    this.#held.set(name, bytes)
    // Closing a name that is not there is allowed, and the caller may have prepared it by SQL.
    return [serialize.close({ type: 'S', name }), bytes]
  }

  #closeRedefined (frames: Uint8Array): Buffer[] {
    const messages: Buffer[] = []
    for (const { type, message } of listFrontendMessages(frames)) {
      if (type === CLOSE && message[5] === STATEMENT) this.#held.delete(readName(message, 6))
      if (type !== PARSE) continue
      const name = readName(message, 5)
      if (name === '') continue
      if (this.#held.has(name)) messages.push(serialize.close({ type: 'S', name }))
      this.#held.set(name, Buffer.from(message))
    }
    return messages
  }
}

function readName (message: Buffer, offset: number): string {
  return message.toString('utf8', offset, message.indexOf(0, offset))
}
