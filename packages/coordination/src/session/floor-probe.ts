import type { Position } from '@tanagerusher/state/position/position'
import type { DecisionModule } from '../common/decision-module.js'

interface CreateOptions {
  /** Delay before a probe is sent again after a failure, while at least one waiter is left. */
  retryDelayMs: number
}

export type FloorProbeEvent =
  /** `since` is the time at which the caller's session began. The wait times out at `deadline`. */
  | { type: 'wait', waiter: number, since: number, deadline: number }
  | { type: 'leave', waiter: number }
  | { type: 'succeeded', probe: number, position: Position }
  | { type: 'failed', probe: number }
  | { type: 'tick' }

export type FloorProbeEffect =
  | { type: 'send', probe: number }
  | { type: 'resolve', waiters: number[], position: Position }
  | { type: 'expire', waiters: number[] }

interface Waiter {
  since: number
  deadline: number
}

interface Probe {
  id: number
  startedAt: number
}

/**
 * Floor probes of one group, shared by all sessions that wait for a floor. A probe is valid for a session only when it was
 * sent after the session began: its position then covers every write that the same caller completed at another host before
 * the session. A session that began while a probe was in flight waits for the next probe, so at most one probe is in flight
 * for any number of waiters.
 */
export class FloorProbe implements DecisionModule<FloorProbeEvent, FloorProbeEffect> {
  readonly #retryDelayMs: number
  readonly #waiters = new Map<number, Waiter>()
  #current: Probe | undefined
  #last: { startedAt: number, position: Position } | undefined
  #retryAt: number | undefined
  #nextId = 1

  private constructor ({ retryDelayMs }: CreateOptions) {
    this.#retryDelayMs = retryDelayMs
  }

  static create (options: CreateOptions): FloorProbe {
    return new FloorProbe(options)
  }

  handle (event: FloorProbeEvent, now: number): FloorProbeEffect[] {
    if (event.type === 'wait') return this.#handleWait(event, now)
    if (event.type === 'succeeded') return this.#handleSuccess(event.probe, event.position, now)
    if (event.type === 'failed') return this.#handleFailure(event.probe, now)
    if (event.type === 'leave') this.#waiters.delete(event.waiter)
    return event.type === 'tick' ? this.#handleTick(now) : []
  }

  findNextDeadline (): number | undefined {
    let next = this.#waiters.size > 0 ? this.#retryAt : undefined
    for (const { deadline } of this.#waiters.values()) next = next === undefined ? deadline : Math.min(next, deadline)
    return next
  }

  #handleWait ({ waiter, since, deadline }: { waiter: number, since: number, deadline: number }, now: number): FloorProbeEffect[] {
    if (this.#last !== undefined && this.#last.startedAt > since) {
      return [{ type: 'resolve', waiters: [waiter], position: this.#last.position }]
    }
    this.#waiters.set(waiter, { since, deadline })
    return this.#sendWhenIdle(now)
  }

  #handleSuccess (probe: number, position: Position, now: number): FloorProbeEffect[] {
    if (this.#current?.id !== probe) return []
    const { startedAt } = this.#current
    this.#current = undefined
    this.#last = { startedAt, position }
    const waiters = [...this.#waiters].filter(([, { since }]) => startedAt > since).map(([waiter]) => waiter)
    for (const waiter of waiters) this.#waiters.delete(waiter)
    const resolved: FloorProbeEffect[] = waiters.length > 0 ? [{ type: 'resolve', waiters, position }] : []
    return [...resolved, ...this.#sendWhenIdle(now)]
  }

  #handleFailure (probe: number, now: number): FloorProbeEffect[] {
    if (this.#current?.id !== probe) return []
    this.#current = undefined
    this.#retryAt = now + this.#retryDelayMs
    return []
  }

  #handleTick (now: number): FloorProbeEffect[] {
    const expired = [...this.#waiters].filter(([, { deadline }]) => deadline <= now).map(([waiter]) => waiter)
    for (const waiter of expired) this.#waiters.delete(waiter)
    const effects: FloorProbeEffect[] = expired.length > 0 ? [{ type: 'expire', waiters: expired }] : []
    return [...effects, ...this.#sendWhenIdle(now)]
  }

  #sendWhenIdle (now: number): FloorProbeEffect[] {
    if (this.#current !== undefined || this.#waiters.size === 0) return []
    if (this.#retryAt !== undefined && this.#retryAt > now) return []
    this.#retryAt = undefined
    this.#current = { id: this.#nextId++, startedAt: now }
    return [{ type: 'send', probe: this.#current.id }]
  }
}
