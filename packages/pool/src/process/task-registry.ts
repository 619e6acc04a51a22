import type { Clock } from '@tanagerusher/coordination/common/clock'
import { chooseDatabaseOwners } from '@tanagerusher/coordination/membership/choose-database-owners'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { Database } from '@tanagerusher/state/configuration/database'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { Logger } from 'winston'
import type { Tracing } from '@tanagerusher/runtime/trace/tracing'
import type { PoolConfiguration } from '../configuration/pool-configuration.js'
import { DatabaseTask } from '../database/database-task.js'
import { GroupTask } from '../group/group-task.js'
import type { PoolSettings } from '../settings/pool-settings.js'
import type { PoolMetrics } from './pool-metrics.js'
import { SqlDatabaseGroup } from '../upstream/sql-database-group.js'

interface CreateOptions {
  settings: PoolSettings
  configuration: PoolConfiguration
  clock: Clock
  logger: Logger
  seed: number
  /** Whether an entry watches the group. */
  isWatched: (group: string) => boolean
  handleStatus: (task: GroupTask) => void
  metrics: PoolMetrics
  tracing: Tracing
}

/** Tasks of databases that this host does not own serve requests that arrive after a change of owner. They close after this idle time. */
const UNUSED_TASK_TIMEOUT_MS = 30_000
/** Databases reserve connections for this application name, so that one at its connection limit can still be monitored and promoted. */
const CONTROL_APPLICATION_NAME = 'tanagerusher-control'

/** Runs the tasks of groups and databases of this pool according to configuration and ownership. */
export class TaskRegistry {
  readonly #options: CreateOptions
  readonly #groups = new Map<string, GroupTask>()
  readonly #databases = new Map<string, DatabaseTask>()
  readonly #lastUsedAt = new Map<string, number>()
  /** Tasks whose configuration has changed. They complete the work in flight. */
  readonly #retired = new Set<DatabaseTask>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): TaskRegistry {
    return new TaskRegistry(options)
  }

  get groups (): Iterable<GroupTask> { return this.#groups.values() }
  get databases (): Iterable<DatabaseTask> { return [...this.#databases.values(), ...this.#retired] }

  /** Starts tasks for groups and databases that this host owns, updates existing ones, and closes those removed from the configuration. */
  update (): void {
    const { configuration } = this.#options
    for (const [name, task] of this.#groups) if (!configuration.groups.has(name)) this.#closeGroup(name, task)
    for (const [name, group] of configuration.groups) this.#updateGroup(name, group)
  }

  findGroup (name: string): GroupTask {
    const known = this.#groups.get(name)
    const group = this.#options.configuration.groups.get(name)
    this.#lastUsedAt.set(name, this.#options.clock.readTime())
    if (known !== undefined) return known
    if (group === undefined) throw createUnavailable(name, 'the group is not known here')
    return this.#openGroup(name, group)
  }

  findDatabase (groupName: string, name: string): DatabaseTask {
    const group = this.findGroup(groupName)
    const key = `${groupName}/${name}`
    this.#lastUsedAt.set(key, this.#options.clock.readTime())
    const known = this.#databases.get(key)
    if (known !== undefined) return known
    const database = group.group.databases.find((candidate) => candidate.name === name)
    if (database === undefined) throw createUnavailable(groupName, `database ${name} is not known here`)
    const { settings, clock, logger, metrics, tracing } = this.#options
    const task = DatabaseTask.create({
      database, group, clock, logger, metrics, tracing, applicationName: `tanagerusher-pool ${settings.host}`, catchUpWaitMs: settings.catchUpWaitMs
    })
    this.#databases.set(key, task)
    return task
  }

  /** Closes tasks of databases that this host does not own and that were not used for `UNUSED_TASK_TIMEOUT_MS`. */
  closeUnusedTasks (): void {
    const cutoffTime = this.#options.clock.readTime() - UNUSED_TASK_TIMEOUT_MS
    for (const task of this.#retired) {
      if (task.isBusy) continue
      this.#retired.delete(task)
      task.close()
    }
    for (const [key, task] of this.#databases) {
      if (this.#isOwned(task.groupName, task.name) || task.isBusy || (this.#lastUsedAt.get(key) ?? 0) > cutoffTime) continue
      this.#databases.delete(key)
      task.close()
    }
    for (const [name, task] of this.#groups) {
      const isUsed = [...this.#databases.values()].some(({ groupName }) => groupName === name)
      if (isUsed || task.isCandidate || this.#options.isWatched(name) || (this.#lastUsedAt.get(name) ?? 0) > cutoffTime) continue
      this.#closeGroup(name, task)
    }
  }

  close (): void {
    for (const task of this.databases) task.close()
    for (const task of this.#groups.values()) task.close()
    this.#databases.clear()
    this.#groups.clear()
  }

  #updateGroup (name: string, group: Group): void {
    const rank = this.#findRank(name, group)
    const task = this.#groups.get(name) ?? (rank === null ? undefined : this.#openGroup(name, group))
    if (task === undefined) return
    if (task.group !== group) task.updateGroup(group)
    task.updateRank(rank)
    for (const database of group.databases) {
      this.#retireChanged(`${name}/${database.name}`, database)
      const known = this.#databases.get(`${name}/${database.name}`)
      if (this.#isOwned(name, database.name)) this.findDatabase(name, database.name).openConnections()
      known?.setLeaving(database.leaving)
    }
    for (const [key, database] of this.#databases) {
      if (database.groupName !== name || group.databases.some((other) => other.name === database.name)) continue
      this.#databases.delete(key)
      database.close()
    }
  }

  #retireChanged (key: string, database: Database): void {
    const task = this.#databases.get(key)
    if (task === undefined || task.isCompatible(database)) return
    this.#databases.delete(key)
    this.#retired.add(task)
    task.refuseNewWork('unavailable')
  }

  #openGroup (name: string, group: Group): GroupTask {
    const { settings, clock, logger, seed, handleStatus, metrics } = this.#options
    const task = GroupTask.create({
      name,
      group,
      clock,
      logger,
      seed,
      databases: SqlDatabaseGroup.create({ group, applicationName: CONTROL_APPLICATION_NAME }),
      suspectAfterMs: settings.suspectAfterMs,
      rankDelayMs: settings.promotionDelayMs,
      readLoad: (database) => this.#databases.get(`${name}/${database}`)?.load ?? 0,
      findOwnDatabase: (database) => this.#isOwned(name, database) ? this.findDatabase(name, database) : undefined,
      handlePromotion: (succeeded) => { metrics.recordPromotion(succeeded) },
      handleChange: handleStatus
    })
    this.#groups.set(name, task)
    return task
  }

  #closeGroup (name: string, task: GroupTask): void {
    this.#groups.delete(name)
    for (const [key, database] of this.#databases) {
      if (database.groupName !== name) continue
      this.#databases.delete(key)
      database.close()
    }
    task.close()
  }

  /** Rank of this host among the owners of the group's databases; null when it owns none. */
  #findRank (name: string, group: Group): number | null {
    const { configuration, settings } = this.#options
    const owners = new Set(group.databases.flatMap((database) => chooseDatabaseOwners(database, configuration.members)[0]?.host ?? []))
    const rank = computeRendezvousOrder(name, [...owners]).indexOf(settings.host)
    return rank < 0 ? null : rank
  }

  #isOwned (groupName: string, name: string): boolean {
    const { configuration, settings } = this.#options
    const database = configuration.groups.get(groupName)?.databases.find((candidate) => candidate.name === name)
    return database !== undefined && chooseDatabaseOwners(database, configuration.members)[0]?.host === settings.host
  }
}

function createUnavailable (group: string, reason: string): TanagerusherError {
  return TanagerusherError.create('unavailable', { details: { group, reason } })
}
