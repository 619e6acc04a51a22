import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import { CommitTracker, type CommitEffect, type CommitEvent } from '@tanagerusher/coordination/failover/commit-tracker'

interface CreateOptions {
  members: readonly string[]
  databases: DatabaseGroup
}

interface Waiter {
  resolve: () => void
  reject: (error: unknown) => void
}

/** Applies the effects of a commit tracker: requests wait until a majority holds the position of their work. */
export class CommitWaiters {
  readonly #tracker: CommitTracker
  readonly #databases: DatabaseGroup
  readonly #waiters = new Map<string, Waiter>()
  #nextId = 1

  private constructor ({ members, databases }: CreateOptions) {
    this.#tracker = CommitTracker.create({ members })
    this.#databases = databases
  }

  static create (options: CreateOptions): CommitWaiters {
    return new CommitWaiters(options)
  }

  get count (): number {
    return this.#waiters.size
  }

  /** Whether a majority is known to hold `position`. */
  isCommitted (position: Position): boolean {
    return this.#tracker.isCommitted(position)
  }

  /** Resolves when a majority holds `position`. Rejects with `outcome-unknown` when the outcome cannot be determined. */
  async wait (position: Position, deadline: number, now: number): Promise<void> {
    if (this.#tracker.isCommitted(position)) return
    const id = String(this.#nextId++)
    await new Promise<void>((resolve, reject) => {
      this.#waiters.set(id, { resolve, reject })
      this.handle({ type: 'register', id, position, deadline }, now)
    })
  }

  observe (status: DatabaseStatus, now: number): void {
    this.handle({ type: 'status', status }, now)
  }

  handle (event: CommitEvent, now: number): void {
    for (const effect of this.#tracker.handle(event, now)) this.#apply(effect, now)
  }

  #apply (effect: CommitEffect, now: number): void {
    if (effect.type === 'read-history') {
      void this.#readHistory(effect.database, effect.term, now)
      return
    }
    const waiter = this.#waiters.get(effect.id)
    this.#waiters.delete(effect.id)
    if (effect.type === 'acknowledge') waiter?.resolve()
    else waiter?.reject(TanagerusherError.create('outcome-unknown', { details: { reason: effect.reason } }))
  }

  async #readHistory (database: string, term: number, now: number): Promise<void> {
    try {
      const history = await this.#databases.readTermHistory(database)
      const { log } = await this.#databases.readStatus(database)
      this.handle({ type: 'history', term, history, end: log }, now)
    } catch {
      this.handle({ type: 'history-failed', term }, now)
    }
  }
}
