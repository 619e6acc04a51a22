import type { RoutedResult } from './routed-result.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { computeConnectionLimit } from '@tanagerusher/coordination/fairness/compute-connection-limit'
import { listOwnerCandidates } from '@tanagerusher/coordination/membership/list-owner-candidates'
import { upstreamExecute, type UpstreamExecuteParams, type UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { PeerLink } from '../peer/peer-link.js'
import type { PeerLinks } from '../peer/peer-links.js'
import type { OwnerRegistry } from './owner-registry.js'

interface CreateOptions {
  self: HostRecord
  regions: ReadonlyMap<string, string>
  links: PeerLinks
  registry: OwnerRegistry
  clock: Clock
}

/** An operation before its database is chosen. */
export type OwnedOperation = Omit<UpstreamExecuteParams, 'databaseId'>

interface Reported { waitMs: number, at: number }

/** The owner answers a little after the time that it was given. */
const ANSWER_MARGIN_MS = 150
/** Owners that are tried in turn; each costs a short wait for a connection. */
const MAXIMUM_TRIES = 4
/** What an owner reported of its queue counts less and less. */
const REPORT_VALID_MS = 400
/** Connections of a host that is gone stay at the database for 3 s. */
const ACTING_AFTER_MS = 3500
const SAME_DATA_CENTRE_MS = 1
const SAME_REGION_MS = 2
const OTHER_REGION_MS = 40

/** Sends work to the owner of a database's connections: this host or the first in order that answers. */
export class OwnerRouter {
  readonly #options: CreateOptions
  #hosts: readonly HostRecord[] = []
  /** Orders by database and place: each costs a hash and a sort over all hosts, and every statement needs several. */
  readonly #candidates = new Map<string, HostRecord[]>()
  readonly #reported = new Map<string, Reported>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): OwnerRouter {
    return new OwnerRouter(options)
  }

  updateHosts (hosts: readonly HostRecord[]): void {
    this.#hosts = hosts
    this.#candidates.clear()
    this.#options.links.updateHosts(hosts)
  }

  get hosts (): readonly HostRecord[] { return this.#hosts }

  listCandidates (record: UpstreamRecord): HostRecord[] {
    const place = `${record.id} ${record.dataCentre}`
    const known = this.#candidates.get(place) ?? listOwnerCandidates(record, this.#hosts, this.#options.regions)
    this.#candidates.set(place, known)
    return known
  }

  /** Runs an operation. With `host`, only there: a transaction stays with the owner of its connection. */
  async execute (record: UpstreamRecord, params: OwnedOperation, host?: string): Promise<RoutedResult> {
    const { self, links, registry, clock } = this.#options
    const deadline = clock.readTime() + params.timeLeftMs
    const candidates = this.listCandidates(record).filter((candidate) => host === undefined || candidate.host === host)
    if (host !== undefined && candidates.length === 0) return refuse(host, 'aborted', 'the owner of the connection is gone')
    let refused: RoutedResult | undefined
    for (const candidate of this.#listUsable(candidates).slice(0, MAXIMUM_TRIES)) {
      const timeLeftMs = Math.max(1, deadline - clock.readTime())
      const link = candidate.host === self.host ? undefined : links.find(candidate)
      if (link !== undefined && !await link.prepare()) continue
      const owned = { ...params, databaseId: record.id, timeLeftMs }
      const result = link === undefined ? await registry.find(record).execute(owned) : await this.#executeAt(link, record, owned)
      if (result.isOwnerUnable !== true) return { result, host: candidate.host }
      refused = { result, host: candidate.host }
    }
    return refused ?? refuse('', host === undefined ? 'busy' : 'aborted', 'no owner of the connections is reached')
  }

  /** Time until a statement sent now would start at the database. */
  estimateWait (record: UpstreamRecord): { distanceMs: number, waitMs: number } {
    const { self, links, registry, clock } = this.#options
    const [owner] = this.#listUsable(this.listCandidates(record))
    const toDatabaseMs = this.#estimateDistance(owner?.dataCentre, record.dataCentre)
    if (owner === undefined || owner.host === self.host) {
      return { distanceMs: toDatabaseMs, waitMs: registry.get(record.id)?.estimateWaitMs() ?? 0 }
    }
    const linkMs = links.find(owner).roundTripMs ?? this.#estimateDistance(self.dataCentre, owner.dataCentre)
    const reported = this.#reported.get(record.id)
    const weight = reported === undefined ? 0 : Math.max(0, 1 - (clock.readTime() - reported.at) / REPORT_VALID_MS)
    return { distanceMs: linkMs + toDatabaseMs, waitMs: (reported?.waitMs ?? 0) * weight }
  }

  /** Connections that this host may hold to a database. */
  findLimit (record: UpstreamRecord, maxConnections: number): number {
    const { self, links } = this.#options
    const candidates = this.listCandidates(record)
    const rank = candidates.findIndex(({ host }) => host === self.host)
    const isActing = candidates.slice(0, rank).every((candidate) => links.find(candidate).readDownMs() > ACTING_AFTER_MS)
    return computeConnectionLimit({ maxConnections, rank, isActing })
  }

  #listUsable (candidates: HostRecord[]): HostRecord[] {
    const { self, links } = this.#options
    return candidates.filter((candidate) => {
      if (candidate.host === self.host) return true
      const link = links.find(candidate)
      if (link.readDownMs() > 0) void link.prepare() // keeps it wanted, so that it is reopened
      return link.readDownMs() === 0
    })
  }

  async #executeAt (link: PeerLink, record: UpstreamRecord, params: UpstreamExecuteParams): Promise<UpstreamExecuteResult> {
    try {
      const result = await link.request(upstreamExecute, params, params.timeLeftMs + ANSWER_MARGIN_MS)
      this.#reported.set(record.id, { waitMs: result.waitMs, at: this.#options.clock.readTime() })
      return result
    } catch (error) {
      return { answer: { type: 'lost', reason: `owner ${link.record.host}: ${String((error as Error).message)}` }, wasSent: true, waitMs: 0 }
    }
  }

  #estimateDistance (from: string | undefined, to: string): number {
    const { regions } = this.#options
    if (from === undefined || from === to) return SAME_DATA_CENTRE_MS
    return regions.get(from) === regions.get(to) ? SAME_REGION_MS : OTHER_REGION_MS
  }
}

function refuse (host: string, failure: 'busy' | 'aborted', text: string): RoutedResult {
  return { result: { answer: { type: 'failed', failure, text, position: undefined }, wasSent: false, waitMs: 0 }, host }
}
