import type { QueuedRequest } from '@tanagerusher/coordination/fairness/queued-request'

/** Queue in front of a database, as the experiment uses it. The product's SlotScheduler has these methods too. */
export interface QueuePolicy {
  enqueue(request: QueuedRequest, now: number): { type: 'queued' | 'refused' }
  start(now: number): QueuedRequest | undefined
  finish(id: string, now: number): void
  expire(now: number): QueuedRequest[]
}
