import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { DecisionModule } from '../common/decision-module.js'
import { findQuorumSize } from './find-quorum-size.js'

export type MonitorEvent =
  | { type: 'status', status: DatabaseStatus }
  /** The port of the database refused a connection, so its process is not running. */
  | { type: 'refused', database: string }
  | { type: 'members', members: readonly string[] }
  /** Position of this host in the order of the candidates that may promote. */
  | { type: 'rank', rank: number }
  | { type: 'promotion-started' }
  | { type: 'promotion-ended', succeeded: boolean, retryAfterMs: number }
  | { type: 'tick' }

export type MonitorEffect =
  /** `suspect` is the primary that should not be promoted again. */
  | { type: 'start-promotion', reason: string, suspect: string | undefined }
  /** The member does not follow the primary of the highest term. */
  | { type: 'follow', database: string, term: number, primary: string }

interface Member {
  status: DatabaseStatus | undefined
  lastSeenAt: number
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
/** Longer than one promotion attempt takes, so that candidates do not outbid each other's terms. */
const RANK_DELAY_MS = 250
/**
 * Multiple of the suspicion limit after which a primary that responds to this host but reaches no majority is replaced, because it
 * cannot acknowledge anything. A database that is only slow still sends a heartbeat to its replicas within this time.
 */
const CUT_OFF_FACTOR = 3
/** Gives a running promotion the time to send the follow call itself, so that it is not sent twice. */
const REPAIR_DELAY_MS = 500

/**
 * Failure detector for the primary of a group. A missing response is not sufficient, because a slow database does not respond either:
 * another member must report that replication has stopped as well, or the port of the primary must refuse connections.
 */
export class GroupMonitor implements DecisionModule<MonitorEvent, MonitorEffect> {
  readonly #members = new Map<string, Member>()
  readonly #suspectAfterMs: number
  readonly #rankDelayMs: number
  #rank: number
  #suspectedAt: number | undefined
  #promoting = false
  #earliestPromotionAt = 0
  /** Cached statuses of the members that reported one; undefined after a change. */
  #statuses: DatabaseStatus[] | undefined
  /** When the current primary was first seen in its term. Link silence that replicas report may have begun under the previous primary. */
  #primaryTerm: { term: number, since: number } | undefined
  /** Highest known term, if it has no working primary, and the time since when. */
  #vacantTerm: { term: number, since: number } | undefined

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
    return Math.max(this.#suspectedAt + this.#rank * this.#rankDelayMs, this.#earliestPromotionAt)
  }

  /** Highest term that any member has promised or written. */
  get highestTerm (): number {
    return Math.max(0, ...this.#listStatuses().map(({ promisedTerm, log }) => Math.max(promisedTerm, log.term)))
  }

  /** Primary with the highest written term, whether or not it is fenced. */
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
    Object.assign(member, { status, lastSeenAt: now, refusedAt: undefined })
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
      if (!this.#members.has(database)) this.#members.set(database, { status: undefined, lastSeenAt: now, refusedAt: undefined, repairAt: undefined })
    }
  }

  /**
   * After a success the known statuses still show the lost primary. Acting on them would repeatedly raise the term against the new
   * primary, so the next promotion waits until new statuses can have arrived.
   */
  #endPromotion ({ succeeded, retryAfterMs }: { succeeded: boolean, retryAfterMs: number }, now: number): void {
    this.#promoting = false
    this.#suspectedAt = undefined
    this.#earliestPromotionAt = now + (succeeded ? Math.max(retryAfterMs, this.#suspectAfterMs) : retryAfterMs)
  }

  #decidePromotion (now: number): MonitorEffect[] {
    const reason = this.#findPromotionReason(now)
    if (reason === undefined) {
      this.#suspectedAt = undefined
      return []
    }
    this.#suspectedAt ??= now
    if (this.#promoting || now < (this.findNextDeadline() ?? now)) return []
    this.#promoting = true
    return [{ type: 'start-promotion', ...reason }]
  }

  #findPromotionReason (now: number): { reason: string, suspect: string | undefined } | undefined {
    const primary = this.findPrimary()
    const statuses = this.#listStatuses()
    if (statuses.length === 0) return undefined
    if (this.#isTermVacant(primary, now)) return { reason: 'a term was raised and nobody became its primary', suspect: undefined }
    if (primary === undefined) return undefined
    const recent = this.#listRecentStatuses(now).filter(({ database }) => database !== primary.database)
    const member = this.#members.get(primary.database) as Member
    if (member.refusedAt !== undefined && recent.length > 0) return { reason: 'the primary refuses connections', suspect: primary.database }
    if (this.#isCutOff(recent, primary.log.term, now)) return { reason: 'the primary reaches no majority of the group', suspect: primary.database }
    if (now - member.lastSeenAt < this.#suspectAfterMs) return undefined
    const isConfirmed = recent.some(({ linkSilentMs }) => linkSilentMs >= this.#suspectAfterMs)
    return isConfirmed ? { reason: 'the primary is silent here and at a replica', suspect: primary.database } : undefined
  }

  /**
   * Whether a candidate raised the term and then stopped before promoting. The time of a complete attempt must pass first, counted
   * anew whenever the term rises, so that candidates do not outbid each other's terms.
   */
  #isTermVacant (primary: DatabaseStatus | undefined, now: number): boolean {
    const recent = this.#listRecentStatuses(now)
    const term = Math.max(0, ...recent.map(({ promisedTerm }) => promisedTerm))
    if (term === 0 || (primary !== undefined && primary.log.term >= term && primary.promisedTerm === primary.log.term)) {
      this.#vacantTerm = undefined
      return false
    }
    if (this.#vacantTerm?.term !== term) this.#vacantTerm = { term, since: now }
    return now - this.#vacantTerm.since >= this.#suspectAfterMs && recent.length * 2 > this.#members.size
  }

  #isCutOff (recent: readonly DatabaseStatus[], term: number, now: number): boolean {
    if (this.#primaryTerm?.term !== term) this.#primaryTerm = { term, since: now }
    if (now - this.#primaryTerm.since < this.#suspectAfterMs * CUT_OFF_FACTOR) return false
    const disconnected = recent.filter(({ linkSilentMs }) => linkSilentMs >= this.#suspectAfterMs * CUT_OFF_FACTOR).length
    return disconnected > 0 && this.#members.size - disconnected < findQuorumSize(this.#members.size)
  }

  #listRecentStatuses (now: number): DatabaseStatus[] {
    return [...this.#members.values()]
      .filter(({ lastSeenAt }) => now - lastSeenAt < this.#suspectAfterMs)
      .flatMap(({ status }) => status ?? [])
  }

  #decideRepairs (now: number): MonitorEffect[] {
    const primary = this.findPrimary()
    if (primary === undefined || this.#promoting || primary.promisedTerm !== primary.log.term) return []
    const effects: MonitorEffect[] = []
    for (const [database, member] of this.#members) {
      if (!isRepairNeeded(member.status, primary)) {
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

function isRepairNeeded (status: DatabaseStatus | undefined, primary: DatabaseStatus): boolean {
  if (status === undefined || status.database === primary.database || status.promisedTerm > primary.log.term) return false
  return status.role === 'primary' || status.primary !== primary.database
}
