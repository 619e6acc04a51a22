import { Lease } from './lease.js'

interface LeaseRecord { holder: string, count: number }

export type LeaseEvent =
  | { type: 'tick' }
  | { type: 'read', object: { version: number, value: LeaseRecord } | null }
  | { type: 'written', version: number }
  /** A write was rejected by the version check. */
  | { type: 'conflict' }
  /** A read or write got no response. A write may have taken effect. */
  | { type: 'lost' }

export type LeaseEffect =
  | { type: 'read' }
  | { type: 'write', value: LeaseRecord, expectedVersion: number }

interface CreateOptions {
  holder: string
  durationMs?: number
  renewIntervalMs?: number
  /** Fraction of the duration that other hosts wait in addition before they take over a lease that was not renewed. */
  clockMargin?: number
}

/**
 * Acquires and renews a lease that is kept as an object in the store. Each renewal writes a higher count. Another host takes the
 * lease over when the object has not changed for longer than the duration on that host's own clock; wall clocks are not compared.
 * The store version of the holder's last write is the fencing token.
 */
export class LeaseHolder {
  readonly #holder: string
  readonly #durationMs: number
  readonly #renewIntervalMs: number
  readonly #takeoverAfterMs: number
  #lease: Lease | undefined
  #version = 0
  #observed: { version: number, firstSeenAt: number } | undefined
  #sentAt: number | undefined
  #sentWrite: LeaseRecord | undefined
  #nextRequestAt = -Infinity
  #count = 0

  private constructor ({ holder, durationMs = 5000, renewIntervalMs = 1000, clockMargin = 0.05 }: CreateOptions) {
    this.#holder = holder
    this.#durationMs = durationMs
    this.#renewIntervalMs = renewIntervalMs
    this.#takeoverAfterMs = durationMs * (1 + clockMargin)
  }

  static create (options: CreateOptions): LeaseHolder {
    return new LeaseHolder(options)
  }

  /** Store version of this holder's last write. Receivers reject work that carries a lower one. */
  get fencingToken (): number { return this.#version }

  /** Must be checked immediately before every effect. */
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
        this.#nextRequestAt = now + this.#renewIntervalMs / 4
        return []
    }
  }

  findNextDeadline (): number | undefined {
    return this.#sentAt === undefined ? this.#nextRequestAt : undefined
  }

  #handleTick (now: number): LeaseEffect[] {
    if (this.#sentAt !== undefined || now < this.#nextRequestAt) return []
    this.#sentAt = now
    return [{ type: 'read' }]
  }

  #handleRead (object: { version: number, value: LeaseRecord } | null, now: number): LeaseEffect[] {
    this.#sentAt = undefined
    if (object !== null && object.value.holder !== this.#holder && this.#isHeldByOther(object.version, now)) {
      this.#lease = undefined
      this.#nextRequestAt = now + this.#renewIntervalMs
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
    this.#nextRequestAt = now + this.#renewIntervalMs
    return []
  }

  /** Whether the lease of another holder must still be respected because its record changed within the takeover time. */
  #isHeldByOther (version: number, now: number): boolean {
    if (this.#observed?.version !== version) this.#observed = { version, firstSeenAt: now }
    return now - this.#observed.firstSeenAt < this.#takeoverAfterMs
  }
}
