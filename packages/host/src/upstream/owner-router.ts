import type { RoutedResult } from './routed-result.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { computeWarmupShare } from '@tanagerusher/coordination/fairness/compute-warmup-share'
import { computeConnectionLimit } from '@tanagerusher/coordination/fairness/compute-connection-limit'
import { listOwnerCandidates } from '@tanagerusher/coordination/membership/list-owner-candidates'
import { filterPermittedHosts } from '@tanagerusher/coordination/placement/filter-permitted-hosts'
import { OwnerReports } from '@tanagerusher/coordination/placement/owner-reports'
import { upstreamExecute, type UpstreamExecuteParams, type UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { PeerLink } from '../peer/peer-link.js'
import type { PeerLinks } from '../peer/peer-links.js'
import type { OwnerDescription } from './owner-description.js'
import type { OwnerRegistry } from './owner-registry.js'

interface CreateOptions {
  self: HostRecord
  regions: ReadonlyMap<string, string>
  links: PeerLinks
  registry: OwnerRegistry
  clock: Clock
}

/** An operation before its database is chosen. */
export type UnroutedOperation = Omit<UpstreamExecuteParams, 'databaseId'>

interface Target {
  /** The operation runs only on this host, since a transaction stays with the owner of its connection. */
  host?: string
  /** The body is sent only to hosts in these regions; undefined: any. */
  permittedRegions?: ReadonlySet<string> | undefined
}

/** Added to the request timeout, since the owner may respond slightly after the time that it was given. */
const RESPONSE_MARGIN_MS = 150
/** Maximum number of owners tried in turn; each costs a short wait for a connection. */
const MAXIMUM_OWNERS_TRIED = 4
/** Time before a host acts for unreachable owners: a database keeps the connections of a failed host for 3 s. */
const ACTING_AFTER_MS = 3500
const SAME_DATA_CENTRE_MS = 1
const SAME_REGION_MS = 2
const OTHER_REGION_MS = 40

/** Routes work to the owner of a database's connections: this host, or the first reachable host in order. */
export class OwnerRouter {
  readonly #options: CreateOptions
  #hosts: readonly HostRecord[] = []
  /** Candidates by database and data centre. Computing them takes a hash and a sort over all hosts, and every statement needs several. */
  readonly #candidates = new Map<string, HostRecord[]>()
  readonly #reports = OwnerReports.create()

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
    const key = `${record.id} ${record.dataCentre}`
    const candidates = this.#candidates.get(key) ?? listOwnerCandidates(record, this.#hosts, this.#options.regions)
    this.#candidates.set(key, candidates)
    return candidates
  }

  async execute (record: UpstreamRecord, params: UnroutedOperation, { host, permittedRegions }: Target): Promise<RoutedResult> {
    const { self, links, registry, clock } = this.#options
    const deadline = clock.readTime() + params.timeLeftMs
    const candidates = this.#listPermitted(record, permittedRegions).filter((candidate) => host === undefined || candidate.host === host)
    if (host !== undefined && candidates.length === 0) return refuse(host, 'aborted', 'the owner of the connection is gone')
    let refused: RoutedResult | undefined
    const reachable = this.#listReachable(candidates)
    const tried = reachable.slice(0, MAXIMUM_OWNERS_TRIED)
    // With home regions the caller's host is always tried, since no host outside of them can take over from the permitted ones.
    if (permittedRegions !== undefined) tried.push(...reachable.slice(MAXIMUM_OWNERS_TRIED).filter((candidate) => candidate.host === self.host))
    for (const candidate of tried) {
      const link = candidate.host === self.host ? undefined : links.find(candidate)
      if (link !== undefined && !await link.prepare(deadline - clock.readTime())) continue
      const timeLeftMs = deadline - clock.readTime()
      if (timeLeftMs <= 0 && params.operation.type !== 'rollback') return refused ?? refuse(candidate.host, host === undefined ? 'busy' : 'aborted', 'its time was over before an owner of the connections was reached')
      const routedParams = { ...params, databaseId: record.id, timeLeftMs: Math.max(1, timeLeftMs) }
      const result = link === undefined ? await registry.find(record).execute(routedParams) : await this.#executeAt(link, record, routedParams)
      if (result.isOwnerUnable !== true) return { result, host: candidate.host }
      refused = { result, host: candidate.host }
    }
    return refused ?? refuse('', host === undefined ? 'busy' : 'aborted', 'no owner of the connections is reached')
  }

  /** Estimates the response time in ms of a read that is sent now, in its parts. */
  estimateResponse (record: UpstreamRecord, priority: number, permittedRegions: ReadonlySet<string> | undefined): { distanceMs: number, waitMs: number, serviceMs: number | undefined, serviceWeight: number } {
    const { self, links, registry, clock } = this.#options
    const [owner] = this.#listReachable(this.#listPermitted(record, permittedRegions))
    const toDatabaseMs = this.#estimateDistance(owner?.dataCentre, record.dataCentre)
    if (owner === undefined || owner.host === self.host) {
      const local = registry.get(record.id)
      return { distanceMs: toDatabaseMs, waitMs: local?.estimateWaitMs() ?? 0, ...local?.estimateService(priority) ?? { serviceMs: undefined, serviceWeight: 0 } }
    }
    const linkMs = links.find(owner).roundTripMs ?? this.#estimateDistance(self.dataCentre, owner.dataCentre)
    return { distanceMs: linkMs + toDatabaseMs, ...this.#reports.estimate(record.id, priority, record.slots, clock.readTime()) }
  }

  /** Describes the candidates in the order in which an operation would be sent to them. */
  describeOwners (record: UpstreamRecord, permittedRegions: ReadonlySet<string> | undefined): OwnerDescription[] {
    const { self, links } = this.#options
    const permitted = this.#listPermitted(record, permittedRegions)
    const reachable = this.#listReachable(permitted)
    return this.listCandidates(record).map((candidate) => {
      const excludedBy = !permitted.includes(candidate) ? 'outside the home regions' : !reachable.includes(candidate) ? 'unreachable' : candidate === reachable[0] ? undefined : 'later in the order'
      const { host, dataCentre, region } = candidate
      return { host, dataCentre, region, downMs: host === self.host ? 0 : Math.round(links.find(candidate).readDownMs()), excludedBy }
    })
  }

  /** Returns the maximum number of connections of this host to a database. */
  findConnectionLimit (record: UpstreamRecord, maxConnections: number): number {
    return computeConnectionLimit({ maxConnections, ...this.#findOwnPlace(record) })
  }

  /** Returns the part of a cold database's requests per second that this host may send. */
  findWarmupShare (record: UpstreamRecord): number {
    return computeWarmupShare(this.#findOwnPlace(record))
  }

  #findOwnPlace (record: UpstreamRecord): { rank: number, isActing: boolean } {
    const { self, links } = this.#options
    const candidates = this.listCandidates(record)
    const rank = candidates.findIndex(({ host }) => host === self.host)
    const isActing = candidates.slice(0, rank).every((candidate) => links.find(candidate).readDownMs() > ACTING_AFTER_MS)
    return { rank, isActing }
  }

  #listPermitted (record: UpstreamRecord, permittedRegions: ReadonlySet<string> | undefined): readonly HostRecord[] {
    return filterPermittedHosts(this.listCandidates(record), this.#options.self.host, permittedRegions)
  }

  #listReachable (candidates: readonly HostRecord[]): HostRecord[] {
    const { self, links } = this.#options
    return candidates.filter((candidate) => {
      if (candidate.host === self.host) return true
      const link = links.find(candidate)
      if (link.readDownMs() > 0) void link.prepare() // marks the link as needed, so that it is reopened
      return link.readDownMs() === 0
    })
  }

  async #executeAt (link: PeerLink, record: UpstreamRecord, params: UpstreamExecuteParams): Promise<UpstreamExecuteResult> {
    this.#reports.recordSent(record.id)
    try {
      const result = await link.request(upstreamExecute, params, params.timeLeftMs + RESPONSE_MARGIN_MS)
      this.#reports.record(record.id, params.priority, result, this.#options.clock.readTime())
      return result
    } catch (error) {
      this.#reports.recordLost(record.id)
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
