import type { QueuedRequest } from '@tanagerusher/coordination/fairness/queued-request'
import type { QueuePolicy } from './queue-policy.js'

/** Baseline: one FIFO queue for all organisations, with the same maximum length as the fair queue. */
export class FirstComeFirstServedPolicy implements QueuePolicy {
  readonly #slots: number
  readonly #waiting: QueuedRequest[] = []
  readonly #running = new Set<string>()

  private constructor (slots: number) {
    this.#slots = slots
  }

  static create ({ slots }: { slots: number }): FirstComeFirstServedPolicy {
    return new FirstComeFirstServedPolicy(slots)
  }

  enqueue (request: QueuedRequest): { type: 'queued' | 'refused' } {
    if (this.#waiting.length >= request.maximumQueued) return { type: 'refused' }
    this.#waiting.push(request)
    return { type: 'queued' }
  }

  start (): QueuedRequest | undefined {
    if (this.#running.size >= this.#slots) return undefined
    const request = this.#waiting.shift()
    if (request !== undefined) this.#running.add(request.id)
    return request
  }

  finish (id: string): void {
    this.#running.delete(id)
  }

  expire (now: number): QueuedRequest[] {
    const due = this.#waiting.filter(({ deadline }) => deadline <= now)
    for (const request of due) this.#waiting.splice(this.#waiting.indexOf(request), 1)
    return due
  }
}
