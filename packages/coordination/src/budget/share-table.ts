import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'
import type { ShareRow, ShareTableValue } from './share-table-schema.js'

interface CreateOptions {
  self: ShareRow
  shareValidMs?: number
  growthWaitMs?: number
  /** Heartbeats among the hosts of the table go from each to each, so the table stays small in a large fleet. */
  maximumHosts?: number
}

interface HeartbeatAnswer extends ShareRow {
  /** Store version of the newest share table that the answering host knows. */
  tableVersion: number
  /** When the own heartbeat was sent. */
  sentAt: number
}

/** Part of the growth wait for which a larger former share is used on; the rest covers clocks that run apart. */
const FORMER_PART = 0.9
/** A delegation for a shorter time is of little use; the smaller share is better then. */
const FORMER_MINIMUM_MS = 2000

/**
 * The own share of every organisation's rate and burst: 1/N according to the `share-table` object.
 *
 * Safe because (1) a share lapses 5 s after the host last sent a store read or heartbeats to a majority that confirmed
 * the table, (2) a share grows only 10 s after a majority of the previous table's hosts was seen to know the new table,
 * and (3) the next change of the table is proposed only after that. The argument is in docs/decisions/rate-and-burst.md.
 */
export class ShareTable {
  readonly #shareValidMs: number
  readonly #growthWaitMs: number
  readonly #maximumHosts: number
  #self: ShareRow
  #version = 0
  #value: ShareTableValue | undefined
  /** Fraction that may be used before the growth wait is over. */
  #floorFraction = 0
  /** Share of the table before: nobody uses what this host has to give up until the growth wait is over. */
  #former = { fraction: 0, until: -Infinity }
  #observedAt = 0
  #activeAt: number | undefined
  readonly #knowing = new Set<string>()
  readonly #answeredAt = new Map<string, number>()
  #storeConfirmedAt = -Infinity

  private constructor ({ self, shareValidMs = 5000, growthWaitMs = 10_000, maximumHosts = 24 }: CreateOptions) {
    this.#self = self
    this.#shareValidMs = shareValidMs
    this.#growthWaitMs = growthWaitMs
    this.#maximumHosts = maximumHosts
  }

  static create (options: CreateOptions): ShareTable {
    return new ShareTable(options)
  }

  get version (): number { return this.#version }
  get value (): ShareTableValue | undefined { return this.#value }

  /** Takes a table that the store has accepted, from the store or from a peer. Older ones are ignored. */
  apply (version: number, value: ShareTableValue, now: number): void {
    if (version <= this.#version) return
    const usable = this.#readFraction(now)
    const confirmedAt = this.#findConfirmation(now)
    const heldPrevious = this.#value?.generation === value.generation - 1
    this.#version = version
    this.#value = value
    this.#observedAt = now
    this.#activeAt = undefined
    this.#knowing.clear()
    this.#floorFraction = heldPrevious ? Math.min(usable, this.#findFraction()) : 0
    this.#former = { fraction: usable, until: confirmedAt + this.#growthWaitMs * FORMER_PART }
    this.#recordKnowing(this.#self, now)
    if (value.previousHosts.length === 0) this.#activeAt = value.generation === 1 ? now - this.#growthWaitMs : now
  }

  /** A host was seen to know a table version, in a heartbeat or its answer. */
  recordTableVersion (row: ShareRow, tableVersion: number, now: number): void {
    if (tableVersion >= this.#version) this.#recordKnowing(row, now)
  }

  /** A host answered a heartbeat. It confirms the own table unless it knows a newer one. */
  recordAnswer ({ tableVersion, sentAt, ...row }: HeartbeatAnswer, now: number): void {
    this.recordTableVersion(row, tableVersion, now)
    if (tableVersion > this.#version) return
    this.#answeredAt.set(row.incarnation, Math.max(sentAt, this.#answeredAt.get(row.incarnation) ?? -Infinity))
  }

  /** The store had no newer configuration than the own one at `confirmedAt`, the time before the read was sent. */
  recordStoreConfirmation (confirmedAt: number): void {
    this.#storeConfirmedAt = Math.max(this.#storeConfirmedAt, confirmedAt)
  }

  /** Fraction of every rate and burst that this host may delegate, and for how long it stays its own. */
  readShare (now: number): { fraction: number, validMs: number } {
    const validMs = this.#findConfirmation(now) + this.#shareValidMs - now
    const fraction = this.#readFraction(now)
    const formerMs = this.#former.until - now
    if (this.#former.fraction > fraction && formerMs >= FORMER_MINIMUM_MS && validMs > 0) return { fraction: this.#former.fraction, validMs: Math.min(validMs, formerMs) }
    return validMs > 0 && fraction > 0 ? { fraction, validMs } : { fraction: 0, validMs: 0 }
  }

  /** Time up to which a majority of the table's hosts confirmed it; -Infinity without one. */
  findMajorityConfirmation (now: number): number {
    return this.#findMajorityConfirmation(now)
  }

  /** Whether a majority of the previous table's hosts is known to have left it. */
  isActive (): boolean {
    return this.#activeAt !== undefined
  }

  /**
   * Next table for these serving hosts; null when it need not or may not change yet. Rows are dropped only in sight of a
   * majority of the table, so that the smaller side of a partition does not take away the larger side's shares.
   */
  propose (serving: readonly ShareRow[], now: number): ShareTableValue | null {
    const current = this.#value
    if (current === undefined) return { generation: 1, hosts: this.#chooseHosts([], serving), previousHosts: [] }
    if (this.#activeAt === undefined || now < Math.max(this.#activeAt, this.#observedAt) + this.#growthWaitMs) return null
    const kept = current.hosts.filter(({ incarnation }) => serving.some((row) => row.incarnation === incarnation))
    const inSight = current.hosts.filter((row) => serving.some((other) => isSameOrSuccessor(row, other)))
    const isMajorityInSight = inSight.length * 2 > current.hosts.length
    const hosts = this.#chooseHosts(isMajorityInSight ? kept : current.hosts, serving)
    const isUnchanged = hosts.length === current.hosts.length && hosts.every(({ incarnation }) => current.hosts.some((row) => row.incarnation === incarnation))
    return isUnchanged || hosts.length === 0 ? null : { generation: current.generation + 1, hosts, previousHosts: current.hosts }
  }

  /** Table that counts no former rows, for operators: only when a majority of the table's hosts is known to be gone. */
  createReset (serving: readonly ShareRow[]): ShareTableValue {
    return { generation: (this.#value?.generation ?? 0) + 1, hosts: this.#chooseHosts([], serving), previousHosts: [] }
  }

  #chooseHosts (kept: readonly ShareRow[], serving: readonly ShareRow[]): ShareRow[] {
    const added = serving.filter((row) => !kept.some((other) => other.incarnation === row.incarnation))
    const order = computeRendezvousOrder('share table', added.map(({ incarnation }) => incarnation))
    const chosen = order.slice(0, Math.max(0, this.#maximumHosts - kept.length))
    return [...kept, ...added.filter(({ incarnation }) => chosen.includes(incarnation))]
  }

  #findFraction (): number {
    const hosts = this.#value?.hosts ?? []
    return hosts.some(({ incarnation }) => incarnation === this.#self.incarnation) ? 1 / hosts.length : 0
  }

  #readFraction (now: number): number {
    const hasGrown = this.#activeAt !== undefined && now >= this.#activeAt + this.#growthWaitMs
    return hasGrown ? this.#findFraction() : this.#floorFraction
  }

  #recordKnowing (row: ShareRow, now: number): void {
    const previous = this.#value?.previousHosts ?? []
    const known = previous.find((other) => isSameOrSuccessor(other, row))
    if (known === undefined || this.#activeAt !== undefined) return
    this.#knowing.add(known.incarnation)
    if (this.#knowing.size * 2 > previous.length) this.#activeAt = now
  }

  #findConfirmation (now: number): number {
    return Math.max(this.#storeConfirmedAt, this.#findMajorityConfirmation(now))
  }

  /** The k-th newest answer, k being a majority of the table; the own row counts as confirmed now. */
  #findMajorityConfirmation (now: number): number {
    const hosts = this.#value?.hosts ?? []
    const times = hosts
      .map(({ incarnation }) => incarnation === this.#self.incarnation ? now : this.#answeredAt.get(incarnation) ?? -Infinity)
      .sort((left, right) => right - left)
    return times[Math.floor(hosts.length / 2)] ?? -Infinity
  }
}

/** A new process at the same host and address proves that the former one has ended: only one can listen there. */
function isSameOrSuccessor (row: ShareRow, other: ShareRow): boolean {
  return row.incarnation === other.incarnation || (row.host === other.host && row.address === other.address)
}
