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

interface Slot {
  link: PoolLink | undefined
  opening: Promise<PoolLink> | undefined
  /** Groups whose status the pool sends. */
  watched: string
  /** Until then no connection is tried again for a request. */
  failedUntil: number
}

const WATCH_RETRY_MS = 500
const RECONNECT_DELAY_MS = 250

/** Links to the pools of the fleet and the owners of the databases. Links open at first use. */
export class PoolDirectory {
  readonly #options: CreateOptions
  readonly #slots = new Map<string, Slot>()
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
    // A control that has just started knows no member yet.
    if (members.length === 0) return
    const isChanged = describeOwnership(members) !== describeOwnership(this.#members)
    this.#members = members
    if (isChanged) {
      this.#owners.clear()
      this.#scheduleWatch(0)
    }
    this.#dropLostLinks()
  }

  updateGroups (groups: ReadonlyMap<string, Group>): void {
    this.#groups = groups
    this.#owners.clear()
    this.#scheduleWatch(0)
  }

  /** Hosts that may serve the database, its owner first. */
  listOwners (database: Database): FleetMember[] {
    let owners = this.#owners.get(database.name)
    if (owners === undefined) {
      owners = chooseDatabaseOwners(database, this.#members)
      this.#owners.set(database.name, owners)
    }
    return owners
  }

  /** Open link to the owner; undefined when a link must be opened. */
  findLink (database: Database, excludedHosts: ReadonlySet<string>): PoolLink | undefined {
    const owner = this.#listAllowedOwners(database, excludedHosts)[0]
    const link = owner === undefined ? undefined : this.#slots.get(describeAddress(owner))?.link
    return link?.isOpen === true ? link : undefined
  }

  /**
   * Opens a link to the first owner that can be reached.
   * @throws TanagerusherError `unavailable` when there is none; nothing was sent then
   */
  async openLink (database: Database, group: string, excludedHosts: ReadonlySet<string>): Promise<PoolLink> {
    for (const owner of this.#listAllowedOwners(database, excludedHosts)) {
      if (this.#hasFailedRecently(owner)) continue
      try {
        return await this.#open(owner)
      } catch (error) {
        this.#options.logger.warn('pool cannot be reached', { pool: describeAddress(owner), reason: (error as Error).message })
      }
    }
    throw TanagerusherError.create('unavailable', { details: { group, reason: 'no pool can be reached' } })
  }

  /** Asks the owners of a group's databases for its status while sessions use the group. */
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
    for (const { link } of this.#slots.values()) link?.destroy()
  }

  #listAllowedOwners (database: Database, excludedHosts: ReadonlySet<string>): FleetMember[] {
    const owners = this.listOwners(database)
    return excludedHosts.size === 0 ? owners : owners.filter((owner) => !excludedHosts.has(describeAddress(owner)))
  }

  #hasFailedRecently (owner: FleetMember): boolean {
    return (this.#slots.get(describeAddress(owner))?.failedUntil ?? 0) > this.#options.clock.readTime()
  }

  async #open (owner: FleetMember): Promise<PoolLink> {
    const key = describeAddress(owner)
    let slot = this.#slots.get(key)
    if (slot === undefined) {
      slot = { link: undefined, opening: undefined, watched: '', failedUntil: 0 }
      this.#slots.set(key, slot)
    }
    if (slot.link?.isOpen === true) return slot.link
    slot.opening ??= this.#openSlot(slot, owner)
    return await slot.opening
  }

  async #openSlot (slot: Slot, owner: FleetMember): Promise<PoolLink> {
    const { hello, tls, handleStatus } = this.#options
    try {
      const address = owner.addresses.pool as { host: string, port: number }
      const link = await PoolLink.open({ address, hello, handleStatus, ...(tls === undefined ? {} : { tls }) })
      slot.link = link
      slot.watched = ''
      if (this.#isClosed) link.destroy()
      void link.closed.then(() => { this.#scheduleWatch(WATCH_RETRY_MS) })
      this.#scheduleWatch(0)
      return link
    } catch (error) {
      slot.failedUntil = this.#options.clock.readTime() + RECONNECT_DELAY_MS
      throw error
    } finally {
      slot.opening = undefined
    }
  }

  /** A host that membership no longer lists may be cut off without its connection closing. */
  #dropLostLinks (): void {
    const known = new Set(this.#members.filter(({ addresses }) => addresses.pool !== undefined).map(describeAddress))
    for (const [key, { link }] of this.#slots) {
      if (known.has(key)) continue
      link?.destroy()
      this.#slots.delete(key)
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
    const link = await this.#open(owner)
    const slot = this.#slots.get(describeAddress(owner))
    const wanted = groups.join('\0')
    if (slot === undefined || slot.watched === wanted) return
    slot.watched = wanted
    try {
      await link.watchGroups(groups)
    } catch (error) {
      slot.watched = ''
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
