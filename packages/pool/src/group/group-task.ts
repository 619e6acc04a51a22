import { setTimeout as wait } from 'node:timers/promises'
import { DataAgeTracker } from '@tanagerusher/coordination/failover/data-age-tracker'
import { findQuorumSize } from '@tanagerusher/coordination/failover/find-quorum-size'
import { GroupMonitor, type MonitorEvent } from '@tanagerusher/coordination/failover/group-monitor'
import { isFloorSatisfied } from '@tanagerusher/coordination/session/is-floor-satisfied'
import type { Database } from '@tanagerusher/state/configuration/database'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { GroupStatus } from '@tanagerusher/state/group/group-status'
import type { Position } from '@tanagerusher/state/position/position'
import { CommitWaiters } from './commit-waiters.js'
import { MemberWatch } from './member-watch.js'
import { PlannedChange } from './planned-change.js'
import { ProbeRunner } from './probe-runner.js'
import { PromotionRunner } from './promotion-runner.js'
import type { GroupTaskOptions } from './group-task-options.js'

interface PositionWaiter {
  database: string
  floor: Position
  resolve: (reached: boolean) => void
  deadline: number
}

const TICK_MS = 25
/** The failure detector works in hundreds of milliseconds, while statuses arrive every fraction of a millisecond under load. */
const MONITOR_UPDATE_INTERVAL_MS = 50
/** Reads avoid an unresponsive database. Twice `suspectAfterMs` tolerates a database that only pauses. */
const UNRESPONSIVE_FACTOR = 2

/**
 * Watches all members of one group, confirms positions, and promotes a replica when the primary is lost. Owns the control
 * connections to the members.
 */
export class GroupTask {
  readonly name: string
  readonly commits: CommitWaiters
  readonly #options: GroupTaskOptions
  readonly #monitor: GroupMonitor
  readonly #probeRunner: ProbeRunner
  readonly #watches = new Map<string, MemberWatch>()
  readonly #dataAge = DataAgeTracker.create()
  readonly #plannedChange: PlannedChange
  readonly #monitorUpdates = new Map<string, { status: DatabaseStatus, updatedAt: number }>()
  readonly #timer: NodeJS.Timeout
  #group: Group
  #promotion: PromotionRunner | undefined
  /** The wanted primary once it has become the primary. A later failover from it is not undone. */
  #reachedPrimary: string | undefined
  #positionWaiters: PositionWaiter[] = []
  /** Null when this host is no candidate, because it owns no database of the group. */
  #rank: number | null = null

  private constructor (options: GroupTaskOptions) {
    this.#options = options
    this.name = options.name
    this.#group = options.group
    const members = this.#listNames()
    const { databases, clock } = options
    this.commits = CommitWaiters.create({ members, databases })
    this.#monitor = GroupMonitor.create({
      members, rank: 0, now: clock.readTime(), suspectAfterMs: options.suspectAfterMs, rankDelayMs: options.rankDelayMs
    })
    this.#probeRunner = ProbeRunner.create({
      group: options.name, members: () => this.#listNames(), databases, clock, observe: (status) => { this.observe(status) }
    })
    this.#plannedChange = PlannedChange.create({
      group: options.name,
      clock,
      logger: options.logger,
      findDatabase: options.findOwnDatabase,
      readStatus: async (database) => await databases.readStatus(database),
      waitForPosition: async (database, position, timeoutMs) => await this.waitForPosition(database, position, timeoutMs),
      promote: async (primary) => await new Promise((resolve) => { this.#promote(`planned change from ${primary}`, primary, resolve) })
    })
    this.#updateWatches()
    this.#timer = setInterval(() => { this.#tick() }, TICK_MS)
  }

  static create (options: GroupTaskOptions): GroupTask {
    return new GroupTask(options)
  }

  get group (): Group { return this.#group }
  get isCandidate (): boolean { return this.#rank !== null }

  updateGroup (group: Group): void {
    if (group.wantedPrimary !== this.#group.wantedPrimary) this.#reachedPrimary = undefined
    this.#group = group
    this.#options.databases.update(group)
    const members = this.#listNames()
    this.commits.handle({ type: 'members', members }, this.#now())
    this.#probeRunner.handle({ type: 'members', members })
    this.#handleMonitorEvent({ type: 'members', members })
    this.#updateWatches()
  }

  updateRank (rank: number | null): void {
    if (rank === this.#rank) return
    this.#rank = rank
    if (rank !== null) this.#handleMonitorEvent({ type: 'rank', rank })
  }

  readStatus (database: string): DatabaseStatus | undefined {
    return this.#watches.get(database)?.status
  }

  /** The primary that accepts work according to the statuses received by this host. */
  findPrimary (): DatabaseStatus | undefined {
    const primary = this.#monitor.findPrimary()
    return primary !== undefined && primary.promisedTerm === primary.log.term ? primary : undefined
  }

  /** Whether enough members are reachable to acknowledge a write. */
  hasQuorum (): boolean {
    const reachable = [...this.#watches.values()].filter((watch) => watch.isReachable(this.#now(), this.#options.suspectAfterMs))
    return reachable.length >= findQuorumSize(this.#watches.size)
  }

  /** Whether a database that responded before has not responded for longer than a slow one would take. */
  isUnresponsive (database: string): boolean {
    const watch = this.#watches.get(database)
    return watch?.status !== undefined && !watch.isReachable(this.#now(), this.#options.suspectAfterMs * UNRESPONSIVE_FACTOR)
  }

  /** Age of the data that a database holds; 0 for the primary, undefined when unknown. */
  findDataAgeMs (database: string): number | undefined {
    const status = this.readStatus(database)
    if (status === undefined) return undefined
    return status.role === 'primary' ? 0 : this.#dataAge.findAgeMs(status.log, this.#now())
  }

  /** Resolves with true when a majority is reachable, with false after `timeoutMs`. */
  async waitForQuorum (timeoutMs: number): Promise<boolean> {
    const deadline = this.#now() + timeoutMs
    while (!this.hasQuorum() && this.#now() < deadline) await wait(TICK_MS)
    return this.hasQuorum()
  }

  async probe (deadlineMs: number): Promise<Position> {
    const deadline = this.#now() + deadlineMs
    const position = await this.#probeRunner.probe(deadline)
    await this.confirm(position, deadline)
    return position
  }

  /** Resolves when a majority holds the position. */
  async confirm (position: Position, deadline: number): Promise<void> {
    const confirmed = this.commits.wait(position, deadline, this.#now())
    if (this.commits.count > 0) for (const watch of this.#watches.values()) watch.wake()
    await confirmed
  }

  /** Records a status that a connection of this process has just read. */
  observe (status: DatabaseStatus): void {
    const watch = this.#watches.get(status.database)
    if (watch === undefined) return
    watch.observe(status, this.#now())
  }

  /** Resolves with true when the database holds `floor`, with false after `timeoutMs`. */
  async waitForPosition (database: string, floor: Position, timeoutMs: number): Promise<boolean> {
    const status = this.readStatus(database)
    if (status !== undefined && isFloorSatisfied(status.log, floor)) return true
    return await new Promise((resolve) => {
      this.#positionWaiters.push({ database, floor, resolve, deadline: this.#now() + timeoutMs })
      this.#watches.get(database)?.wake()
    })
  }

  buildStatus (): GroupStatus {
    const now = this.#now()
    return {
      group: this.name,
      term: this.#monitor.highestTerm,
      primary: this.findPrimary()?.database ?? null,
      members: [...this.#watches.values()].flatMap((watch) => {
        const { status, receivedAt: statusReceivedAt } = watch
        if (status === undefined) return []
        const age = this.findDataAgeMs(status.database)
        return {
          database: status.database,
          role: status.role,
          log: status.log,
          promisedTerm: status.promisedTerm,
          reachable: watch.isReachable(now, this.#options.suspectAfterMs),
          load: this.#options.readLoad(status.database),
          observedAgeMs: now - statusReceivedAt,
          ...(age === undefined ? {} : { dataAgeMs: age })
        }
      })
    }
  }

  close (): void {
    clearInterval(this.#timer)
    this.#promotion?.close()
    for (const watch of this.#watches.values()) watch.close()
    this.#options.databases.close()
    for (const waiter of this.#positionWaiters) waiter.resolve(false)
    this.#positionWaiters = []
  }

  #now (): number {
    return this.#options.clock.readTime()
  }

  #listNames (): string[] {
    return this.#group.databases.map(({ name }) => name)
  }

  #updateWatches (): void {
    const names = this.#listNames()
    for (const [database, watch] of this.#watches) {
      if (names.includes(database)) continue
      watch.close()
      this.#watches.delete(database)
    }
    for (const database of names) {
      if (this.#watches.has(database)) continue
      this.#watches.set(database, MemberWatch.create({
        database,
        databases: this.#options.databases,
        clock: this.#options.clock,
        hasWaiters: () => this.commits.count > 0 || this.#positionWaiters.some((waiter) => waiter.database === database),
        handleStatus: (status, requestedAt) => { this.#handleStatus(status, requestedAt) },
        handleRefused: () => { this.#handleMonitorEvent({ type: 'refused', database }) }
      }))
    }
  }

  #handleStatus (status: DatabaseStatus, requestedAt: number): void {
    this.commits.observe(status, this.#now())
    if (status.role === 'primary' && status.promisedTerm === status.log.term) this.#dataAge.record(status.log, requestedAt)
    this.#resolvePositionWaiters(status)
    this.#updateMonitor(status)
    this.#options.handleChange(this)
  }

  #updateMonitor (status: DatabaseStatus): void {
    const now = this.#now()
    const last = this.#monitorUpdates.get(status.database)
    const isSame = last?.status.role === status.role && last.status.promisedTerm === status.promisedTerm &&
      last.status.log.term === status.log.term && last.status.primary === status.primary
    if (last !== undefined && isSame && now - last.updatedAt < MONITOR_UPDATE_INTERVAL_MS) return
    this.#monitorUpdates.set(status.database, { status, updatedAt: now })
    this.#handleMonitorEvent({ type: 'status', status })
  }

  #resolvePositionWaiters (status: DatabaseStatus): void {
    if (this.#positionWaiters.length === 0) return
    const isReached = ({ database, floor }: PositionWaiter): boolean => database === status.database && isFloorSatisfied(status.log, floor)
    const reached = this.#positionWaiters.filter(isReached)
    if (reached.length === 0) return
    this.#positionWaiters = this.#positionWaiters.filter((waiter) => !isReached(waiter))
    for (const waiter of reached) waiter.resolve(true)
  }

  #handleMonitorEvent (event: MonitorEvent): void {
    const effects = this.#monitor.handle(event, this.#now())
    if (this.#rank === null) {
      if (effects.some(({ type }) => type === 'start-promotion')) this.#monitor.handle({ type: 'promotion-ended', succeeded: false, retryAfterMs: 0 }, this.#now())
      return
    }
    for (const effect of effects) {
      if (effect.type === 'start-promotion') this.#promote(effect.reason, effect.suspect)
      else this.#options.databases.follow(effect.database, effect.term, effect.primary).catch(() => {})
    }
  }

  #promote (reason: string, avoid: string | undefined, handleEnd: (succeeded: boolean) => void = () => {}): void {
    const { clock, databases, logger, seed } = this.#options
    this.#promotion?.close()
    this.#promotion = PromotionRunner.create({
      group: this.name,
      members: this.#listMembersByPreference(),
      avoid,
      seed: seed + this.#monitor.highestTerm,
      databases,
      clock,
      logger,
      handleEnd: (result) => {
        this.#handleMonitorEvent({ type: 'promotion-ended', ...result })
        handleEnd(result.succeeded)
        this.#options.handlePromotion(result.succeeded)
      }
    })
    this.#handleMonitorEvent({ type: 'promotion-started' })
    this.#promotion.start(this.#monitor.highestTerm, reason)
  }

  /** Starts a planned change if the primary is leaving or an operator wants another primary. */
  #checkPlannedChange (): void {
    const primary = this.findPrimary()?.database
    if (primary === undefined) return
    const { databases, wantedPrimary } = this.#group
    if (primary === wantedPrimary) this.#reachedPrimary = wantedPrimary
    const isLeaving = databases.some(({ name, leaving }) => name === primary && leaving)
    const wanted = wantedPrimary !== undefined && wantedPrimary !== this.#reachedPrimary ? wantedPrimary : undefined
    if ((!isLeaving && wanted === undefined) || this.#options.findOwnDatabase(primary) === undefined) return
    const now = this.#now()
    const successors = databases
      .filter(({ name, leaving }) => name !== primary && !leaving && this.#watches.get(name)?.isReachable(now, this.#options.suspectAfterMs))
      .map(({ name }) => name)
    if (isLeaving) this.#plannedChange.start(primary, successors)
    else this.#plannedChange.start(primary, successors.filter((name) => name === wanted))
  }

  /** Lists the wanted primary first and leaving databases last, otherwise in the order of the configuration. */
  #listMembersByPreference (): string[] {
    const { databases, wantedPrimary } = this.#group
    const rank = ({ name, leaving }: Database): number => leaving ? 2 : name === wantedPrimary ? 0 : 1
    return [...databases].sort((left, right) => rank(left) - rank(right)).map(({ name }) => name)
  }

  #tick (): void {
    const now = this.#now()
    this.commits.handle({ type: 'tick' }, now)
    this.#probeRunner.handle({ type: 'tick' })
    this.#handleMonitorEvent({ type: 'tick' })
    this.#checkPlannedChange()
    const expired = this.#positionWaiters.filter(({ deadline }) => deadline <= now)
    if (expired.length > 0) this.#positionWaiters = this.#positionWaiters.filter(({ deadline }) => deadline > now)
    for (const waiter of expired) waiter.resolve(false)
  }
}
