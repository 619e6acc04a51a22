import { createHash, randomBytes } from 'node:crypto'
import type { CallerSessionTask } from './caller-session-task.js'

interface CreateOptions {
  host: string
}

const SESSION_BITS = 16
const SESSION_NUMBERS = 1 << SESSION_BITS
const HOST_MASK = 0x7fff

/**
 * Sessions of the process by process identifier. The upper 15 bits of an identifier are a hash of the host's name, so that
 * any host of the fleet can find the host of a CancelRequest. When hashes collide, the request is sent to all matching hosts.
 */
export class SessionRegistry {
  readonly #hostHash: number
  readonly #sessions = new Map<number, CallerSessionTask>()
  #nextNumber = 1

  private constructor ({ host }: CreateOptions) {
    this.#hostHash = SessionRegistry.computeHostHash(host)
  }

  static create (options: CreateOptions): SessionRegistry {
    return new SessionRegistry(options)
  }

  static computeHostHash (host: string): number {
    return createHash('sha256').update(host).digest().readUInt16BE(0) & HOST_MASK
  }

  static readHostHash (processId: number): number {
    return (processId >>> SESSION_BITS) & HOST_MASK
  }

  get size (): number {
    return this.#sessions.size
  }

  list (): IterableIterator<CallerSessionTask> {
    return this.#sessions.values()
  }

  /** Creates the identifier and secret of a new session. Returns undefined when all identifiers are in use. */
  createIdentity (): { processId: number, secret: number } | undefined {
    if (this.#sessions.size >= SESSION_NUMBERS - 1) return undefined
    let processId: number
    do {
      processId = this.#hostHash * SESSION_NUMBERS + this.#nextNumber
      this.#nextNumber = this.#nextNumber % (SESSION_NUMBERS - 1) + 1
    } while (this.#sessions.has(processId))
    return { processId, secret: randomBytes(4).readUInt32BE(0) }
  }

  add (session: CallerSessionTask): void {
    this.#sessions.set(session.processId, session)
  }

  remove (session: CallerSessionTask): void {
    this.#sessions.delete(session.processId)
  }

  /** Cancels the running request of a session. Returns false when the session or the secret is unknown. */
  cancel (processId: number, secret: number): boolean {
    const session = this.#sessions.get(processId)
    if (session === undefined || session.secret !== secret) return false
    session.cancel()
    return true
  }
}
