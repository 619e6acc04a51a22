import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'
import type { ShareRow, ShareTableValue } from './share-table-schema.js'

interface CreateOptions {
  self: ShareRow
  shareValidMs?: number
  growthWaitMs?: number
  /** Every host of the table sends heartbeats to every other one, so the table stays small in a large fleet. */
  maximumHosts?: number
}

interface HeartbeatResponse extends ShareRow {
  /** Store version of the newest share table on the responding host. */
  tableVersion: number
  /** Time at which this host sent the heartbeat. */
  sentAt: number
}

/** Fraction of the growth wait for which a larger previous share stays in use; the remainder covers clock drift between hosts. */
const PREVIOUS_SHARE_WAIT_FRACTION = 0.9
/** A delegation for a shorter time is of little use, so the smaller share is used instead. */
const PREVIOUS_SHARE_MIN_VALIDITY_MS = 2000

/**
 * Computes this host's share of every organisation's rate and burst: 1/N according to the `share-table` object.
 *
 * The shares never exceed the limits because (1) a share expires 5 s after this host sent the last store read or heartbeats to
 * a majority that confirmed the table, (2) a share grows only 10 s after a majority of the hosts in the previous table was
 * confirmed to have the new one, and (3) the next change of the table is proposed only after that. The argument is in
 * docs/decisions/rate-and-burst.md.
 */
export class ShareTable {
  readonly #shareValidMs: number
  readonly #growthWaitMs: number
  readonly #maximumHosts: number
  #self: ShareRow
  #version = 0
  #value: ShareTableValue | undefined
  /** Fraction that may be used until the growth wait has elapsed. */
  #initialFraction = 0
  /** Share in the previous table. No other host uses the part that this host loses until the growth wait has elapsed. */
  #previousShare = { fraction: 0, until: -Infinity }
  #appliedAt = 0
  #activeAt: number | undefined
  readonly #upToDateIncarnations = new Set<string>()
  readonly #confirmedAtByIncarnation = new Map<string, number>()
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

  /** Applies a table that the store has accepted, received from the store or a peer. Older versions are ignored. */
  apply (version: number, value: ShareTableValue, now: number): void {
    if (version <= this.#version) return
    const previousFraction = this.#readFraction(now)
    const confirmedAt = this.#findConfirmation(now)
    const hadPreviousGeneration = this.#value?.generation === value.generation - 1
    this.#version = version
    this.#value = value
    this.#appliedAt = now
    this.#activeAt = undefined
    this.#upToDateIncarnations.clear()
    this.#initialFraction = hadPreviousGeneration ? Math.min(previousFraction, this.#findFraction()) : 0
    this.#previousShare = { fraction: previousFraction, until: confirmedAt + this.#growthWaitMs * PREVIOUS_SHARE_WAIT_FRACTION }
    this.#recordUpToDate(this.#self, now)
    if (value.previousHosts.length === 0) this.#activeAt = value.generation === 1 ? now - this.#growthWaitMs : now
  }

  /** Records the table version in a heartbeat of a host, or in its response to one. */
  recordTableVersion (row: ShareRow, tableVersion: number, now: number): void {
    if (tableVersion >= this.#version) this.#recordUpToDate(row, now)
  }

  /** Records the response of a host to a heartbeat. It confirms the table of this host unless that host has a newer one. */
  recordHeartbeatResponse ({ tableVersion, sentAt, ...row }: HeartbeatResponse, now: number): void {
    this.recordTableVersion(row, tableVersion, now)
    if (tableVersion > this.#version) return
    this.#confirmedAtByIncarnation.set(row.incarnation, Math.max(sentAt, this.#confirmedAtByIncarnation.get(row.incarnation) ?? -Infinity))
  }

  /** Records that the store had no newer configuration than this host at `confirmedAt`, a time before the read was sent. */
  recordStoreConfirmation (confirmedAt: number): void {
    this.#storeConfirmedAt = Math.max(this.#storeConfirmedAt, confirmedAt)
  }

  /** Returns the fraction of every rate and burst that this host may delegate, and the time for which it stays valid. */
  readShare (now: number): { fraction: number, validMs: number } {
    const validMs = this.#findConfirmation(now) + this.#shareValidMs - now
    const fraction = this.#readFraction(now)
    const previousValidMs = this.#previousShare.until - now
    if (this.#previousShare.fraction > fraction && previousValidMs >= PREVIOUS_SHARE_MIN_VALIDITY_MS && validMs > 0) return { fraction: this.#previousShare.fraction, validMs: Math.min(validMs, previousValidMs) }
    return validMs > 0 && fraction > 0 ? { fraction, validMs } : { fraction: 0, validMs: 0 }
  }

  /** Returns the latest time at which a majority of the hosts in the table confirmed it; -Infinity without a majority. */
  findMajorityConfirmation (now: number): number {
    return this.#findMajorityConfirmation(now)
  }

  /** Whether a majority of the hosts in the previous table is confirmed to have replaced it by this one. */
  isActive (): boolean {
    return this.#activeAt !== undefined
  }

  /**
   * Returns the next table for the serving hosts; null when no change is needed or allowed yet. Rows are removed only while a
   * majority of the table is reachable, so that the smaller side of a network partition cannot take shares from the larger side.
   */
  propose (serving: readonly ShareRow[], now: number): ShareTableValue | null {
    const current = this.#value
    if (current === undefined) return { generation: 1, hosts: this.#chooseHosts([], serving), previousHosts: [] }
    if (this.#activeAt === undefined || now < Math.max(this.#activeAt, this.#appliedAt) + this.#growthWaitMs) return null
    const kept = current.hosts.filter(({ incarnation }) => serving.some((row) => row.incarnation === incarnation))
    const reachable = current.hosts.filter((row) => serving.some((other) => isSameOrSuccessor(row, other)))
    const isMajorityReachable = reachable.length * 2 > current.hosts.length
    const hosts = this.#chooseHosts(isMajorityReachable ? kept : current.hosts, serving)
    const isUnchanged = hosts.length === current.hosts.length && hosts.every(({ incarnation }) => current.hosts.some((row) => row.incarnation === incarnation))
    return isUnchanged || hosts.length === 0 ? null : { generation: current.generation + 1, hosts, previousHosts: current.hosts }
  }

  /** Returns a table without previous rows. Operators may apply it only when a majority of the hosts in the table has stopped for good. */
  createResetTable (serving: readonly ShareRow[]): ShareTableValue {
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
    return hasGrown ? this.#findFraction() : this.#initialFraction
  }

  #recordUpToDate (row: ShareRow, now: number): void {
    const previous = this.#value?.previousHosts ?? []
    const known = previous.find((other) => isSameOrSuccessor(other, row))
    if (known === undefined || this.#activeAt !== undefined) return
    this.#upToDateIncarnations.add(known.incarnation)
    if (this.#upToDateIncarnations.size * 2 > previous.length) this.#activeAt = now
  }

  #findConfirmation (now: number): number {
    return Math.max(this.#storeConfirmedAt, this.#findMajorityConfirmation(now))
  }

  /** Returns the k-th newest confirmation, where k is a majority of the table; the row of this host counts as confirmed now. */
  #findMajorityConfirmation (now: number): number {
    const hosts = this.#value?.hosts ?? []
    const times = hosts
      .map(({ incarnation }) => incarnation === this.#self.incarnation ? now : this.#confirmedAtByIncarnation.get(incarnation) ?? -Infinity)
      .sort((left, right) => right - left)
    return times[Math.floor(hosts.length / 2)] ?? -Infinity
  }
}

/** A new process at the same host and address implies that the previous one has ended, since only one can listen there. */
function isSameOrSuccessor (row: ShareRow, other: ShareRow): boolean {
  return row.incarnation === other.incarnation || (row.host === other.host && row.address === other.address)
}
