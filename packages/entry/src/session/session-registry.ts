import { createHash, randomBytes } from 'node:crypto'
import type { CallerSessionTask } from './caller-session-task.js'

interface CreateOptions {
  host: string
}

const SLOT_BITS = 16
const SLOTS = 1 << SLOT_BITS
const HOST_MASK = 0x7fff

/**
 * Sessions of the process by process identifier. The upper 15 bits are a hash of the host's name, so that any host of
 * the fleet can tell where a CancelRequest belongs; hosts whose hashes collide are all asked.
 */
export class SessionRegistry {
  readonly #hostHash: number
  readonly #sessions = new Map<number, CallerSessionTask>()
  #next = 1

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
    return (processId >>> SLOT_BITS) & HOST_MASK
  }

  get size (): number {
    return this.#sessions.size
  }

  list (): IterableIterator<CallerSessionTask> {
    return this.#sessions.values()
  }

  /** Identifier and secret for a new session; undefined when all are in use. */
  createIdentity (): { processId: number, secret: number } | undefined {
    if (this.#sessions.size >= SLOTS - 1) return undefined
    let processId: number
    do {
      processId = this.#hostHash * SLOTS + this.#next
      this.#next = this.#next % (SLOTS - 1) + 1
    } while (this.#sessions.has(processId))
    return { processId, secret: randomBytes(4).readUInt32BE(0) }
  }

  add (session: CallerSessionTask): void {
    this.#sessions.set(session.processId, session)
  }

  remove (session: CallerSessionTask): void {
    this.#sessions.delete(session.processId)
  }

  /** Cancels the running request of a session. A wrong secret cancels nothing. */
  cancel (processId: number, secret: number): boolean {
    const session = this.#sessions.get(processId)
    if (session === undefined || session.secret !== secret) return false
    session.cancel()
    return true
  }
}
