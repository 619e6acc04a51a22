import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import { ProbeConfirmation, type ProbeEffect, type ProbeEvent } from '@tanagerusher/coordination/failover/probe-confirmation'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'

interface CreateOptions {
  group: string
  members: () => readonly string[]
  databases: DatabaseGroup
  clock: Clock
  /** Called with each status read. */
  observe: (status: DatabaseStatus) => void
}

interface Waiter {
  resolve: (position: Position) => void
  reject: (error: unknown) => void
}

/** Reads the status of all members for floor probes. Requests that wait at the same time share one round. */
export class ProbeRunner {
  readonly #options: CreateOptions
  readonly #confirmation: ProbeConfirmation
  readonly #waiters = new Map<string, Waiter>()
  #nextId = 1

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#confirmation = ProbeConfirmation.create({ members: options.members() })
  }

  static create (options: CreateOptions): ProbeRunner {
    return new ProbeRunner(options)
  }

  /** Resolves with a position of the primary that a majority confirmed after the call. Rejects with `unavailable` on failure. */
  async probe (deadline: number): Promise<Position> {
    const id = String(this.#nextId++)
    return await new Promise((resolve, reject) => {
      this.#waiters.set(id, { resolve, reject })
      this.handle({ type: 'request', id, deadline })
    })
  }

  handle (event: ProbeEvent): void {
    for (const effect of this.#confirmation.handle(event, this.#options.clock.readTime())) this.#apply(effect)
  }

  #apply (effect: ProbeEffect): void {
    if (effect.type === 'start-round') {
      void this.#runRound(effect.round)
      return
    }
    for (const id of effect.ids) {
      const waiter = this.#waiters.get(id)
      this.#waiters.delete(id)
      if (effect.type === 'confirm') waiter?.resolve(effect.position)
      else waiter?.reject(TanagerusherError.create('unavailable', { details: { group: this.#options.group, reason: effect.reason } }))
    }
  }

  async #runRound (round: number): Promise<void> {
    await Promise.all(this.#options.members().map(async (database) => {
      try {
        const status = await this.#options.databases.readStatus(database)
        this.#options.observe(status)
        this.handle({ type: 'status', round, status })
      } catch {
        // The round ends without the confirmation of an unreachable member.
      }
    }))
    this.handle({ type: 'round-ended', round })
  }
}
