import { Lease } from './lease.js'

interface LeaseRecord { holder: string, count: number }

export type LeaseEvent =
  | { type: 'tick' }
  | { type: 'read', object: { version: number, value: LeaseRecord } | null }
  | { type: 'written', version: number }
  /** Refused by the version check. */
  | { type: 'conflict' }
  /** No answer to a read or a write; a write may have taken effect. */
  | { type: 'lost' }

export type LeaseEffect =
  | { type: 'read' }
  | { type: 'write', value: LeaseRecord, expectedVersion: number }

interface CreateOptions {
  holder: string
  durationMs?: number
  renewEveryMs?: number
  /** Others wait this part longer than the duration before they take an unrenewed lease. */
  clockMargin?: number
}

/**
 * Holds a lease kept as an object in the store. Each renewal writes a higher count. Another host takes the lease when it
 * saw the same count for longer than the duration on its own clock; no wall clock is compared. The store version of the
 * holder's last write is the fencing token.
 */
export class LeaseHolder {
  readonly #holder: string
  readonly #durationMs: number
  readonly #renewEveryMs: number
  readonly #waitMs: number
  #lease: Lease | undefined
  #version = 0
  #seen: { version: number, at: number } | undefined
  #sentAt: number | undefined
  #sentWrite: LeaseRecord | undefined
  #nextAt = -Infinity
  #count = 0

  private constructor ({ holder, durationMs = 5000, renewEveryMs = 1000, clockMargin = 0.05 }: CreateOptions) {
    this.#holder = holder
    this.#durationMs = durationMs
    this.#renewEveryMs = renewEveryMs
    this.#waitMs = durationMs * (1 + clockMargin)
  }

  static create (options: CreateOptions): LeaseHolder {
    return new LeaseHolder(options)
  }

  /** Store version of the last own write: receivers refuse work that carries a lower one. */
  get fencingToken (): number { return this.#version }

  /** Check right before every effect. */
  isHeld (now: number): boolean {
    return this.#lease?.isValid(now) ?? false
  }

  handle (event: LeaseEvent, now: number): LeaseEffect[] {
    switch (event.type) {
      case 'tick': return this.#handleTick(now)
      case 'read': return this.#handleRead(event.object, now)
      case 'written': return this.#handleWritten(event.version, now)
      case 'conflict':
      case 'lost':
        this.#sentAt = undefined
        this.#nextAt = now + this.#renewEveryMs / 4
        return []
    }
  }

  findNextDeadline (): number | undefined {
    return this.#sentAt === undefined ? this.#nextAt : undefined
  }

  #handleTick (now: number): LeaseEffect[] {
    if (this.#sentAt !== undefined || now < this.#nextAt) return []
    this.#sentAt = now
    return [{ type: 'read' }]
  }

  #handleRead (object: { version: number, value: LeaseRecord } | null, now: number): LeaseEffect[] {
    this.#sentAt = undefined
    if (object !== null && object.value.holder !== this.#holder && this.#isOthers(object.version, now)) {
      this.#lease = undefined
      this.#nextAt = now + this.#renewEveryMs
      return []
    }
    this.#sentAt = now
    this.#sentWrite = { holder: this.#holder, count: Math.max(this.#count, object?.value.count ?? 0) + 1 }
    return [{ type: 'write', value: this.#sentWrite, expectedVersion: object?.version ?? 0 }]
  }

  #handleWritten (version: number, now: number): LeaseEffect[] {
    if (this.#sentAt === undefined || this.#sentWrite === undefined) return []
    this.#lease = Lease.create({ sentAt: this.#sentAt, durationMs: this.#durationMs })
    this.#version = version
    this.#count = this.#sentWrite.count
    this.#sentAt = undefined
    this.#nextAt = now + this.#renewEveryMs
    return []
  }

  /** Whether another's lease must still be respected: its record changed within the waiting time. */
  #isOthers (version: number, now: number): boolean {
    if (this.#seen?.version !== version) this.#seen = { version, at: now }
    return now - this.#seen.at < this.#waitMs
  }
}
