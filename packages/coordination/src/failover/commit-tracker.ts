import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { DecisionModule } from '../common/decision-module.js'
import { findQuorumSize } from './find-quorum-size.js'
import { isPositionInHistory } from './is-position-in-history.js'
import type { TermStart } from './term-start.js'

export type CommitEvent =
  /** A database executed work, after which its log ended at `position`. */
  | { type: 'register', id: string, position: Position, deadline: number }
  | { type: 'status', status: DatabaseStatus }
  /** Term history of the primary of `term`, read after that primary's status. */
  | { type: 'history', term: number, history: readonly TermStart[], end: Position }
  | { type: 'history-failed', term: number }
  | { type: 'members', members: readonly string[] }
  | { type: 'withdraw', id: string }
  | { type: 'tick' }

export type CommitEffect =
  | { type: 'acknowledge', id: string }
  | { type: 'outcome-unknown', id: string, reason: string }
  | { type: 'read-history', database: string, term: number }

interface PendingWrite {
  id: string
  position: Position
  deadline: number
}

interface MemberState {
  log: Position
  promisedTerm: number
  role: DatabaseStatus['role']
}

interface CreateOptions {
  members: readonly string[]
}

/**
 * Decides when a position is durable, which is when a majority of the group holds it in its own term and has promised no higher
 * term. If the term ended before that, the term history of a later primary decides, once a majority holds the first entry of that
 * primary's term. Before that point, the primary of a still higher term could lack the position.
 */
export class CommitTracker implements DecisionModule<CommitEvent, CommitEffect> {
  #members: readonly string[]
  readonly #memberStates = new Map<string, MemberState>()
  readonly #pending = new Map<string, PendingWrite>()
  readonly #committed = new Map<number, number>()
  #requestedHistoryTerm = 0

  private constructor (members: readonly string[]) {
    this.#members = members
  }

  static create ({ members }: CreateOptions): CommitTracker {
    return new CommitTracker(members)
  }

  get pendingCount (): number {
    return this.#pending.size
  }

  /** Whether a majority is known to hold `position` in its term. */
  isCommitted (position: Position): boolean {
    return (this.#committed.get(position.term) ?? -1) >= position.position
  }

  handle (event: CommitEvent, now: number): CommitEffect[] {
    switch (event.type) {
      case 'register': return this.#register(event)
      case 'status': return this.#applyStatus(event.status)
      case 'history': return this.#applyHistory(event.term, event.history, event.end)
      case 'history-failed':
        if (this.#requestedHistoryTerm === event.term) this.#requestedHistoryTerm = 0
        return []
      case 'members': return this.#replaceMembers(event.members)
      case 'withdraw':
        this.#pending.delete(event.id)
        return []
      case 'tick': return this.#expire(now)
    }
  }

  findNextDeadline (): number | undefined {
    let earliest: number | undefined
    for (const { deadline } of this.#pending.values()) if (earliest === undefined || deadline < earliest) earliest = deadline
    return earliest
  }

  #register ({ id, position, deadline }: PendingWrite): CommitEffect[] {
    if (this.isCommitted(position)) return [{ type: 'acknowledge', id }]
    this.#pending.set(id, { id, position, deadline })
    return this.#requestHistory()
  }

  #replaceMembers (members: readonly string[]): CommitEffect[] {
    this.#members = members
    for (const database of this.#memberStates.keys()) if (!members.includes(database)) this.#memberStates.delete(database)
    return []
  }

  #applyStatus ({ database, log, promisedTerm, role, primary }: DatabaseStatus): CommitEffect[] {
    if (!this.#members.includes(database)) return []
    const known = this.#memberStates.get(database)
    if (known !== undefined && (promisedTerm < known.promisedTerm || log.term < known.log.term)) return []
    if (known !== undefined && log.term === known.log.term && log.position < known.log.position) return []
    this.#memberStates.set(database, { log, promisedTerm, role })
    if (role === 'replica' && primary !== null && promisedTerm === log.term) this.#applyImpliedPrimaryLog(primary, log)
    return [...this.#acknowledge(log.term), ...this.#requestHistory()]
  }

  /**
   * Raises the known log position of the primary to that of a replica in the same term. The log of the replica is a prefix of the
   * primary's log, so the primary held these entries before it promised a higher term.
   */
  #applyImpliedPrimaryLog (primary: string, log: Position): void {
    const known = this.#memberStates.get(primary)
    if (known === undefined || known.role !== 'primary' || known.log.term !== log.term || known.promisedTerm !== log.term) return
    if (known.log.position < log.position) this.#memberStates.set(primary, { ...known, log })
  }

  #acknowledge (term: number): CommitEffect[] {
    const committed = this.#computeCommitted(term)
    if (committed <= (this.#committed.get(term) ?? -1)) return []
    this.#committed.set(term, committed)
    if (this.#committed.size > 8) this.#committed.delete(Math.min(...this.#committed.keys()))
    return this.#takePending(({ position }) => position.term === term && position.position <= committed)
      .map(({ id }) => ({ type: 'acknowledge', id }))
  }

  #computeCommitted (term: number): number {
    const positions = this.#members
      .map((database) => this.#memberStates.get(database))
      .filter((state) => state !== undefined && state.log.term === term && state.promisedTerm === term)
      .map((state) => (state as MemberState).log.position)
      .sort((left, right) => right - left)
    return positions[findQuorumSize(this.#members.length) - 1] ?? -1
  }

  #requestHistory (): CommitEffect[] {
    const primary = this.#findPrimary()
    if (primary === undefined || primary.term === this.#requestedHistoryTerm || this.#computeCommitted(primary.term) < 0) return []
    for (const { position } of this.#pending.values()) {
      if (position.term >= primary.term) continue
      this.#requestedHistoryTerm = primary.term
      return [{ type: 'read-history', database: primary.database, term: primary.term }]
    }
    return []
  }

  #findPrimary (): { database: string, term: number } | undefined {
    let found: { database: string, term: number } | undefined
    for (const [database, { role, log, promisedTerm }] of this.#memberStates) {
      if (role !== 'primary' || promisedTerm !== log.term || (found !== undefined && found.term >= log.term)) continue
      found = { database, term: log.term }
    }
    return found
  }

  #applyHistory (term: number, history: readonly TermStart[], end: Position): CommitEffect[] {
    if (this.#requestedHistoryTerm === term) this.#requestedHistoryTerm = 0
    return this.#takePending(({ position }) => position.term < term).map(({ id, position }) => (
      isPositionInHistory(history, end, position)
        ? { type: 'acknowledge', id }
        : { type: 'outcome-unknown', id, reason: 'the primary changed before a majority held the write' }
    ))
  }

  #expire (now: number): CommitEffect[] {
    return this.#takePending(({ deadline }) => deadline <= now)
      .map(({ id }) => ({ type: 'outcome-unknown', id, reason: 'no majority confirmed the write before the deadline' }))
  }

  #takePending (matches: (pending: PendingWrite) => boolean): PendingWrite[] {
    const taken = [...this.#pending.values()].filter(matches)
    for (const { id } of taken) this.#pending.delete(id)
    return taken
  }
}
