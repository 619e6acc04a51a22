import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import { findQuorumSize } from './find-quorum-size.js'

interface Waiter {
  id: string
  deadline: number
}

interface Round {
  number: number
  waiters: Waiter[]
  statuses: Map<string, DatabaseStatus>
}

export type ProbeEvent =
  | { type: 'request', id: string, deadline: number }
  /** Status whose reading began after the `start-round` effect of this round. */
  | { type: 'status', round: number, status: DatabaseStatus }
  /** Every member has responded or failed. */
  | { type: 'round-ended', round: number }
  | { type: 'members', members: readonly string[] }
  | { type: 'tick' }

export type ProbeEffect =
  | { type: 'start-round', round: number }
  | { type: 'confirm', ids: string[], position: Position }
  | { type: 'reject', ids: string[], reason: string }

interface CreateOptions {
  members: readonly string[]
}

/**
 * Linearizable read of the primary's position. After a round starts, it reads the status of every member, and it confirms the
 * position when a majority has promised no term above the primary's. Requests that arrive during a round wait for the next one,
 * because a status read that began before the request may miss writes that were acknowledged in between.
 */
export class ProbeConfirmation {
  #members: readonly string[]
  #waiting: Waiter[] = []
  #running: Round | undefined
  #nextRound = 1

  private constructor (members: readonly string[]) {
    this.#members = members
  }

  static create ({ members }: CreateOptions): ProbeConfirmation {
    return new ProbeConfirmation(members)
  }

  handle (event: ProbeEvent, now: number): ProbeEffect[] {
    switch (event.type) {
      case 'request':
        this.#waiting.push({ id: event.id, deadline: event.deadline })
        return this.#startRound()
      case 'status': return this.#applyStatus(event.round, event.status)
      case 'round-ended': return this.#endRound(event.round)
      case 'members':
        this.#members = event.members
        return []
      case 'tick': return this.#expire(now)
    }
  }

  findNextDeadline (): number | undefined {
    const waiters = [...this.#waiting, ...(this.#running?.waiters ?? [])]
    return waiters.length === 0 ? undefined : Math.min(...waiters.map(({ deadline }) => deadline))
  }

  #startRound (): ProbeEffect[] {
    if (this.#running !== undefined || this.#waiting.length === 0) return []
    this.#running = { number: this.#nextRound++, waiters: this.#waiting, statuses: new Map() }
    this.#waiting = []
    return [{ type: 'start-round', round: this.#running.number }]
  }

  #applyStatus (number: number, status: DatabaseStatus): ProbeEffect[] {
    if (this.#running?.number !== number) return []
    this.#running.statuses.set(status.database, status)
    const position = this.#findConfirmed(this.#running)
    if (position === undefined) return []
    const ids = this.#running.waiters.map(({ id }) => id)
    this.#running = undefined
    return [{ type: 'confirm', ids, position }, ...this.#startRound()]
  }

  #findConfirmed ({ statuses }: Round): Position | undefined {
    const all = this.#members.flatMap((database) => statuses.get(database) ?? [])
    const primary = all.find(({ role, log, promisedTerm }) => role === 'primary' && log.term === promisedTerm &&
      all.every((other) => other.promisedTerm <= log.term))
    if (primary === undefined) return undefined
    const confirming = all.filter(({ promisedTerm }) => promisedTerm === primary.log.term)
    return confirming.length >= findQuorumSize(this.#members.length) ? primary.log : undefined
  }

  #endRound (number: number): ProbeEffect[] {
    if (this.#running?.number !== number) return []
    const ids = this.#running.waiters.map(({ id }) => id)
    this.#running = undefined
    return [{ type: 'reject', ids, reason: 'no majority confirmed the primary' }, ...this.#startRound()]
  }

  #expire (now: number): ProbeEffect[] {
    const isDue = ({ deadline }: Waiter): boolean => deadline <= now
    const due = [...this.#waiting, ...(this.#running?.waiters ?? [])].filter(isDue)
    this.#waiting = this.#waiting.filter((waiter) => !isDue(waiter))
    if (this.#running !== undefined) this.#running.waiters = this.#running.waiters.filter((waiter) => !isDue(waiter))
    return due.length === 0 ? [] : [{ type: 'reject', ids: due.map(({ id }) => id), reason: 'no majority confirmed the primary in time' }]
  }
}
