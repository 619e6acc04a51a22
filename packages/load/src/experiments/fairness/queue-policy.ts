import type { QueuedRequest } from '@tanagerusher/coordination/fairness/queued-request'

/** What the experiment needs of a queue in front of a database; the product's SlotScheduler has the same methods. */
export interface QueuePolicy {
  enqueue(request: QueuedRequest, now: number): { type: 'queued' | 'refused' }
  start(now: number): QueuedRequest | undefined
  finish(id: string, now: number): void
  expire(now: number): QueuedRequest[]
}
