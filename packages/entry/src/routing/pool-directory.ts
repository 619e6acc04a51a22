import type { ConnectionOptions } from 'node:tls'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { chooseDatabaseOwners } from '@tanagerusher/coordination/membership/choose-database-owners'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { Database } from '@tanagerusher/state/configuration/database'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { GroupStatus } from '@tanagerusher/state/group/group-status'
import type { Logger } from 'winston'
import { PoolLink } from './pool-link.js'

interface CreateOptions {
  hello: PeerHello
  tls?: ConnectionOptions
  logger: Logger
  clock: Clock
  handleStatus: (status: GroupStatus) => void
}

interface LinkState {
  link: PoolLink | undefined
  opening: Promise<PoolLink> | undefined
  /** Groups whose status the pool sends, joined into one string. */
  watchedGroups: string
  /** Earliest time at which a request may try to connect again after a failure. */
  retryAt: number
}

const WATCH_RETRY_MS = 500
const RECONNECT_DELAY_MS = 250

/** Finds the owners of the databases and holds one link to each pool, opened on first use. */
export class PoolDirectory {
  readonly #options: CreateOptions
  readonly #linkStates = new Map<string, LinkState>()
  readonly #owners = new Map<string, FleetMember[]>()
  readonly #sessionsByGroup = new Map<string, number>()
  #members: readonly FleetMember[] = []
  #groups: ReadonlyMap<string, Group> = new Map()
  #watchTimer: NodeJS.Timeout | undefined
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PoolDirectory {
    return new PoolDirectory(options)
  }

  updateMembers (members: readonly FleetMember[]): void {
    // A control process that has just started sends an empty list.
    if (members.length === 0) return
    const isChanged = describeOwnership(members) !== describeOwnership(this.#members)
    this.#members = members
    if (isChanged) {
      this.#owners.clear()
      this.#scheduleWatch(0)
    }
    this.#removeLostLinks()
  }

  updateGroups (groups: ReadonlyMap<string, Group>): void {
    this.#groups = groups
    this.#owners.clear()
    this.#scheduleWatch(0)
  }

  /** Lists the hosts that may serve the database, its owner first. */
  listOwners (database: Database): FleetMember[] {
    let owners = this.#owners.get(database.name)
    if (owners === undefined) {
      owners = chooseDatabaseOwners(database, this.#members)
      this.#owners.set(database.name, owners)
    }
    return owners
  }

  /** Returns the open link to the owner, or undefined when a link must be opened. */
  findLink (database: Database, excludedHosts: ReadonlySet<string>): PoolLink | undefined {
    const owner = this.#listAllowedOwners(database, excludedHosts)[0]
    const link = owner === undefined ? undefined : this.#linkStates.get(describeAddress(owner))?.link
    return link?.isOpen === true ? link : undefined
  }

  /**
   * Opens a link to the first owner that is reachable.
   * @throws TanagerusherError `unavailable` when none is reachable; nothing was sent in this case
   */
  async openLink (database: Database, group: string, excludedHosts: ReadonlySet<string>): Promise<PoolLink> {
    for (const owner of this.#listAllowedOwners(database, excludedHosts)) {
      if (this.#hasFailedRecently(owner)) continue
      try {
        return await this.#openOwnerLink(owner)
      } catch (error) {
        this.#options.logger.warn('cannot connect to pool', { pool: describeAddress(owner), reason: (error as Error).message })
      }
    }
    throw TanagerusherError.create('unavailable', { details: { group, reason: 'no pool can be reached' } })
  }

  /** Counts a session of the group. While a group has sessions, its status is requested from the owners of its databases. */
  addSession (group: string): void {
    const count = this.#sessionsByGroup.get(group) ?? 0
    this.#sessionsByGroup.set(group, count + 1)
    if (count === 0) this.#scheduleWatch(0)
  }

  removeSession (group: string): void {
    const count = this.#sessionsByGroup.get(group) ?? 0
    if (count <= 1) this.#sessionsByGroup.delete(group)
    else this.#sessionsByGroup.set(group, count - 1)
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#watchTimer)
    for (const { link } of this.#linkStates.values()) link?.destroy()
  }

  #listAllowedOwners (database: Database, excludedHosts: ReadonlySet<string>): FleetMember[] {
    const owners = this.listOwners(database)
    return excludedHosts.size === 0 ? owners : owners.filter((owner) => !excludedHosts.has(describeAddress(owner)))
  }

  #hasFailedRecently (owner: FleetMember): boolean {
    return (this.#linkStates.get(describeAddress(owner))?.retryAt ?? 0) > this.#options.clock.readTime()
  }

  async #openOwnerLink (owner: FleetMember): Promise<PoolLink> {
    const key = describeAddress(owner)
    let state = this.#linkStates.get(key)
    if (state === undefined) {
      state = { link: undefined, opening: undefined, watchedGroups: '', retryAt: 0 }
      this.#linkStates.set(key, state)
    }
    if (state.link?.isOpen === true) return state.link
    state.opening ??= this.#connect(state, owner)
    return await state.opening
  }

  async #connect (state: LinkState, owner: FleetMember): Promise<PoolLink> {
    const { hello, tls, handleStatus } = this.#options
    try {
      const address = owner.addresses.pool as { host: string, port: number }
      const link = await PoolLink.open({ address, hello, handleStatus, ...(tls === undefined ? {} : { tls }) })
      state.link = link
      state.watchedGroups = ''
      if (this.#isClosed) link.destroy()
      void link.closed.then(() => { this.#scheduleWatch(WATCH_RETRY_MS) })
      this.#scheduleWatch(0)
      return link
    } catch (error) {
      state.retryAt = this.#options.clock.readTime() + RECONNECT_DELAY_MS
      throw error
    } finally {
      state.opening = undefined
    }
  }

  /** Closes the links to hosts that are no longer members: a partitioned host does not close its connection. */
  #removeLostLinks (): void {
    const memberAddresses = new Set(this.#members.filter(({ addresses }) => addresses.pool !== undefined).map(describeAddress))
    for (const [key, { link }] of this.#linkStates) {
      if (memberAddresses.has(key)) continue
      link?.destroy()
      this.#linkStates.delete(key)
    }
  }

  #scheduleWatch (delayMs: number): void {
    if (this.#isClosed || this.#watchTimer !== undefined) return
    this.#watchTimer = setTimeout(() => {
      this.#watchTimer = undefined
      this.#watchAll().catch(() => { this.#scheduleWatch(WATCH_RETRY_MS) })
    }, delayMs)
  }

  async #watchAll (): Promise<void> {
    const groupsByOwner = new Map<FleetMember, Set<string>>()
    for (const group of this.#sessionsByGroup.keys()) {
      for (const database of this.#groups.get(group)?.databases ?? []) {
        const owner = this.listOwners(database)[0]
        if (owner === undefined) continue
        const groups = groupsByOwner.get(owner) ?? new Set()
        groupsByOwner.set(owner, groups.add(group))
      }
    }
    const results = await Promise.allSettled([...groupsByOwner].map(async ([owner, groups]) => { await this.#watch(owner, [...groups].sort()) }))
    if (results.some(({ status }) => status === 'rejected')) this.#scheduleWatch(WATCH_RETRY_MS)
  }

  async #watch (owner: FleetMember, groups: string[]): Promise<void> {
    const link = await this.#openOwnerLink(owner)
    const state = this.#linkStates.get(describeAddress(owner))
    const joinedGroups = groups.join('\0')
    if (state === undefined || state.watchedGroups === joinedGroups) return
    state.watchedGroups = joinedGroups
    try {
      await link.watchGroups(groups)
    } catch (error) {
      state.watchedGroups = ''
      throw error
    }
  }
}

function describeAddress ({ addresses: { pool } }: FleetMember): string {
  return `${pool?.host}:${pool?.port}`
}

function describeOwnership (members: readonly FleetMember[]): string {
  return members.map((member) => `${member.host} ${member.state} ${describeAddress(member)}`).sort().join(',')
}
