import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { DecisionModule } from '../common/decision-module.js'
import { findQuorumSize } from './find-quorum-size.js'

export type MonitorEvent =
  | { type: 'status', status: DatabaseStatus }
  /** The database's port refused a connection: its process is gone. */
  | { type: 'refused', database: string }
  | { type: 'members', members: readonly string[] }
  /** Position of this host in the order of the candidates that may promote. */
  | { type: 'rank', rank: number }
  | { type: 'promotion-started' }
  | { type: 'promotion-ended', succeeded: boolean, retryAfterMs: number }
  | { type: 'tick' }

export type MonitorEffect =
  /** `suspect` is the primary that should not be chosen again. */
  | { type: 'start-promotion', reason: string, suspect: string | undefined }
  /** The member does not follow the primary of the highest term. */
  | { type: 'follow', database: string, term: number, primary: string }

interface Member {
  status: DatabaseStatus | undefined
  heardAt: number
  refusedAt: number | undefined
  repairAt: number | undefined
}

interface CreateOptions {
  members: readonly string[]
  rank: number
  now: number
  suspectAfterMs?: number
  rankDelayMs?: number
}

/** Bound of the design page: three missed heartbeats of 200 ms. */
const SUSPECT_AFTER_MS = 600
/** Longer than one promotion attempt takes, so that candidates do not raise the term against each other. */
const RANK_DELAY_MS = 250
/**
 * A primary that answers here but has reached none of its replicas for this many times the limit cannot acknowledge
 * anything. It is long enough that a database which is merely slow still sends a heartbeat in between.
 */
const CUT_OFF_FACTOR = 3
/** A follow call that a running promotion is about to make needs no second sender. */
const REPAIR_DELAY_MS = 500

/**
 * Detects that a group has lost its primary. Silence alone is not enough, because a slow database is silent too: another
 * member must report that replication has stopped as well, or the port must refuse connections.
 */
export class GroupMonitor implements DecisionModule<MonitorEvent, MonitorEffect> {
  readonly #members = new Map<string, Member>()
  readonly #suspectAfterMs: number
  readonly #rankDelayMs: number
  #rank: number
  #suspectedAt: number | undefined
  #promoting = false
  #notBefore = 0
  /** Statuses of the members that gave one; rebuilt after a change. */
  #statuses: DatabaseStatus[] | undefined
  /** When the current primary was first seen in its term. Replicas report silence of the primary before it as well. */
  #settled: { term: number, since: number } | undefined
  /** Since when the highest known term has no working primary, and which term that is. */
  #unsettled: { term: number, since: number } | undefined

  private constructor ({ members, rank, now, suspectAfterMs = SUSPECT_AFTER_MS, rankDelayMs = RANK_DELAY_MS }: CreateOptions) {
    this.#rank = rank
    this.#suspectAfterMs = suspectAfterMs
    this.#rankDelayMs = rankDelayMs
    this.#replaceMembers(members, now)
  }

  static create (options: CreateOptions): GroupMonitor {
    return new GroupMonitor(options)
  }

  handle (event: MonitorEvent, now: number): MonitorEffect[] {
    switch (event.type) {
      case 'status': this.#applyStatus(event.status, now); break
      case 'refused': this.#applyRefused(event.database, now); break
      case 'members': this.#replaceMembers(event.members, now); break
      case 'rank': this.#rank = event.rank; break
      case 'promotion-started': this.#promoting = true; break
      case 'promotion-ended': this.#endPromotion(event, now); break
      case 'tick': break
    }
    return [...this.#decidePromotion(now), ...this.#decideRepairs(now)]
  }

  findNextDeadline (): number | undefined {
    if (this.#suspectedAt === undefined || this.#promoting) return undefined
    return Math.max(this.#suspectedAt + this.#rank * this.#rankDelayMs, this.#notBefore)
  }

  /** Highest term that any member has promised or written. */
  get highestTerm (): number {
    return Math.max(0, ...this.#listStatuses().map(({ promisedTerm, log }) => Math.max(promisedTerm, log.term)))
  }

  /** Primary of the highest term that was written, fenced or not. */
  findPrimary (): DatabaseStatus | undefined {
    let primary: DatabaseStatus | undefined
    for (const status of this.#listStatuses()) {
      if (status.role === 'primary' && (primary === undefined || status.log.term > primary.log.term)) primary = status
    }
    return primary
  }

  #listStatuses (): DatabaseStatus[] {
    this.#statuses ??= [...this.#members.values()].flatMap(({ status }) => status ?? [])
    return this.#statuses
  }

  #applyStatus (status: DatabaseStatus, now: number): void {
    const member = this.#members.get(status.database)
    if (member === undefined) return
    Object.assign(member, { status, heardAt: now, refusedAt: undefined })
    this.#statuses = undefined
  }

  #applyRefused (database: string, now: number): void {
    const member = this.#members.get(database)
    if (member !== undefined) member.refusedAt ??= now
  }

  #replaceMembers (members: readonly string[], now: number): void {
    this.#statuses = undefined
    for (const database of this.#members.keys()) if (!members.includes(database)) this.#members.delete(database)
    for (const database of members) {
      if (!this.#members.has(database)) this.#members.set(database, { status: undefined, heardAt: now, refusedAt: undefined, repairAt: undefined })
    }
  }

  /**
   * After a success the known statuses still show the lost primary. Acting on them would raise the term against the new
   * primary again and again, so the next promotion waits until fresh statuses had time to arrive.
   */
  #endPromotion ({ succeeded, retryAfterMs }: { succeeded: boolean, retryAfterMs: number }, now: number): void {
    this.#promoting = false
    this.#suspectedAt = undefined
    this.#notBefore = now + (succeeded ? Math.max(retryAfterMs, this.#suspectAfterMs) : retryAfterMs)
  }

  #decidePromotion (now: number): MonitorEffect[] {
    const reason = this.#findSuspicion(now)
    if (reason === undefined) {
      this.#suspectedAt = undefined
      return []
    }
    this.#suspectedAt ??= now
    if (this.#promoting || now < (this.findNextDeadline() ?? now)) return []
    this.#promoting = true
    return [{ type: 'start-promotion', ...reason }]
  }

  #findSuspicion (now: number): { reason: string, suspect: string | undefined } | undefined {
    const primary = this.findPrimary()
    const statuses = this.#listStatuses()
    if (statuses.length === 0) return undefined
    if (this.#isUnsettled(primary, now)) return { reason: 'a term was raised and nobody became its primary', suspect: undefined }
    if (primary === undefined) return undefined
    const fresh = this.#listFresh(now).filter(({ database }) => database !== primary.database)
    const member = this.#members.get(primary.database) as Member
    if (member.refusedAt !== undefined && fresh.length > 0) return { reason: 'the primary refuses connections', suspect: primary.database }
    if (this.#isCutOff(fresh, primary.log.term, now)) return { reason: 'the primary reaches no majority of the group', suspect: primary.database }
    if (now - member.heardAt < this.#suspectAfterMs) return undefined
    const confirming = fresh.some(({ linkSilentMs }) => linkSilentMs >= this.#suspectAfterMs)
    return confirming ? { reason: 'the primary is silent here and at a replica', suspect: primary.database } : undefined
  }

  /**
   * Whether a candidate raised the term and then stopped. Another candidate gets the time of a whole attempt first, and
   * again whenever the term rises, so that candidates do not outbid each other.
   */
  #isUnsettled (primary: DatabaseStatus | undefined, now: number): boolean {
    const fresh = this.#listFresh(now)
    const term = Math.max(0, ...fresh.map(({ promisedTerm }) => promisedTerm))
    if (term === 0 || (primary !== undefined && primary.log.term >= term && primary.promisedTerm === primary.log.term)) {
      this.#unsettled = undefined
      return false
    }
    if (this.#unsettled?.term !== term) this.#unsettled = { term, since: now }
    return now - this.#unsettled.since >= this.#suspectAfterMs && fresh.length * 2 > this.#members.size
  }

  #isCutOff (fresh: readonly DatabaseStatus[], term: number, now: number): boolean {
    if (this.#settled?.term !== term) this.#settled = { term, since: now }
    if (now - this.#settled.since < this.#suspectAfterMs * CUT_OFF_FACTOR) return false
    const silent = fresh.filter(({ linkSilentMs }) => linkSilentMs >= this.#suspectAfterMs * CUT_OFF_FACTOR).length
    return silent > 0 && this.#members.size - silent < findQuorumSize(this.#members.size)
  }

  #listFresh (now: number): DatabaseStatus[] {
    return [...this.#members.values()]
      .filter(({ heardAt }) => now - heardAt < this.#suspectAfterMs)
      .flatMap(({ status }) => status ?? [])
  }

  #decideRepairs (now: number): MonitorEffect[] {
    const primary = this.findPrimary()
    if (primary === undefined || this.#promoting || primary.promisedTerm !== primary.log.term) return []
    const effects: MonitorEffect[] = []
    for (const [database, member] of this.#members) {
      if (!needsRepair(member.status, primary)) {
        member.repairAt = undefined
        continue
      }
      member.repairAt ??= now + REPAIR_DELAY_MS + this.#rank * this.#rankDelayMs
      if (now < member.repairAt) continue
      member.repairAt = now + REPAIR_DELAY_MS * 2
      effects.push({ type: 'follow', database, term: primary.log.term, primary: primary.database })
    }
    return effects
  }
}

function needsRepair (status: DatabaseStatus | undefined, primary: DatabaseStatus): boolean {
  if (status === undefined || status.database === primary.database || status.promisedTerm > primary.log.term) return false
  return status.role === 'primary' || status.primary !== primary.database
}
