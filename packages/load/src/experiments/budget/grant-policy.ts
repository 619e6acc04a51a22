import { BudgetHome } from '@tanagerusher/coordination/budget/budget-home'
import { computePartition } from '@tanagerusher/coordination/budget/compute-partition'
import { ShareDelegator } from '@tanagerusher/coordination/budget/share-delegator'
import { GrantHolder, type GrantHolderEffect } from '@tanagerusher/coordination/budget/grant-holder'
import { listPartitionHomes } from '@tanagerusher/coordination/budget/list-partition-homes'
import { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'
import type { AdmissionPolicy } from './admission-policy.js'

interface ShareRow { host: string, incarnation: string, address: string }

interface Host {
  row: ShareRow
  isRunning: boolean
  shares: ShareTable
  delegator: ShareDelegator
  budgetHome: BudgetHome
  holder: GrantHolder
  waitingRequests: Array<{ deadline: number, decide: (admitted: boolean) => void }>
  /** Incarnations of the hosts that this host considers serving. */
  servingIncarnations: Set<string>
}

interface CreateOptions {
  time: VirtualTime
  random: SeededRandom
  hosts: number
  organisation: string
  rate: number
  burst: number
}

const GRANT_WAIT_MS = 250
const HEARTBEAT_INTERVAL_MS = 500
const DELEGATION_INTERVAL_MS = 1000
const TICK_MS = 5
const LOST_HOST_REMOVAL_MS = 5000

/** The product's share table, delegations, budget homes and grants. Hosts exchange messages with a delay in virtual time. */
export class GrantPolicy implements AdmissionPolicy {
  storeCalls = 0
  #sequence = 0
  #isStoreAvailable = true
  readonly #options: CreateOptions
  readonly #hosts: Host[]
  readonly #partition: number

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#partition = computePartition(options.organisation)
    const rows = Array.from({ length: options.hosts }, (_, index) => ({ host: `h${index}`, incarnation: `h${index}-1`, address: `h${index}` }))
    this.#hosts = rows.map((row) => this.#buildHost(row, rows))
    for (const host of this.#hosts) {
      this.#sendHeartbeats(host)
      this.#renewDelegations(host)
      this.#tick(host)
    }
  }

  static create (options: CreateOptions): GrantPolicy {
    return new GrantPolicy(options)
  }

  request (index: number, decide: (admitted: boolean) => void): void {
    const host = this.#hosts[index] as Host
    const now = this.#options.time.readTime()
    if (host.isRunning && host.waitingRequests.length === 0 && host.holder.take(this.#options.organisation, now)) decide(true)
    else if (host.isRunning) host.waitingRequests.push({ deadline: now + GRANT_WAIT_MS, decide })
    else decide(false)
    this.#admitWaiting(host)
  }

  setStoreAvailable (isAvailable: boolean): void {
    this.#isStoreAvailable = isAvailable
  }

  loseHost (index: number): void {
    const lost = this.#hosts[index] as Host
    lost.isRunning = false
    this.#options.time.schedule(LOST_HOST_REMOVAL_MS, () => { for (const { servingIncarnations } of this.#hosts) servingIncarnations.delete(lost.row.incarnation) })
  }

  #buildHost (row: ShareRow, rows: ShareRow[]): Host {
    const { organisation, rate, burst } = this.#options
    const shares = ShareTable.create({ self: row })
    shares.apply(1, { generation: 1, hosts: rows, previousHosts: [] }, 0)
    const budgetHome = BudgetHome.create({ incarnation: row.incarnation })
    budgetHome.updateLimits(organisation, { rate, burst }, 0)
    return {
      row, isRunning: true, shares, delegator: ShareDelegator.create(), budgetHome, holder: GrantHolder.create(), waitingRequests: [], servingIncarnations: new Set(rows.map(({ incarnation }) => incarnation))
    }
  }

  /** Confirms the share table by heartbeats of the other hosts and, while the store is available, by a store read. */
  #sendHeartbeats (host: Host): void {
    if (!host.isRunning) return
    const sentAt = this.#options.time.readTime()
    for (const peer of this.#hosts) {
      if (peer === host) continue
      this.#call(peer, () => peer.shares.version, (tableVersion) => { host.shares.recordHeartbeatResponse({ ...peer.row, tableVersion, sentAt }, this.#options.time.readTime()) })
    }
    if (this.#isStoreAvailable) {
      this.storeCalls++
      this.#options.time.schedule(4, () => { host.shares.recordStoreConfirmation(sentAt) })
    }
    this.#options.time.schedule(HEARTBEAT_INTERVAL_MS, () => { this.#sendHeartbeats(host) })
  }

  #renewDelegations (host: Host): void {
    if (!host.isRunning) return
    const sentAt = this.#options.time.readTime()
    if (this.#findBudgetHome(host) === host) {
      for (const delegatingHost of this.#hosts) {
        this.#call(delegatingHost, () => this.#delegate(delegatingHost, host), ({ partitions, validMs, fraction }) => {
          host.budgetHome.addDelegation({ delegator: delegatingHost.row.incarnation, partitions, fraction, validMs, sentAt }, this.#options.time.readTime())
        })
      }
    }
    this.#options.time.schedule(DELEGATION_INTERVAL_MS, () => { this.#renewDelegations(host) })
  }

  #delegate (delegatingHost: Host, home: Host): { partitions: number[], validMs: number, fraction: number } {
    const now = this.#options.time.readTime()
    const share = delegatingHost.shares.readShare(now)
    const isPreferred = (): boolean => this.#findBudgetHome(delegatingHost) === home
    const delegation = delegatingHost.delegator.delegate({ home: home.row.incarnation, sequence: ++this.#sequence, partitions: [this.#partition], isPreferred, shareValidMs: share.validMs }, now)
    return { ...delegation, fraction: share.fraction }
  }

  #findBudgetHome (host: Host): Host | undefined {
    const incarnation = listPartitionHomes([...host.servingIncarnations])[this.#partition]
    return this.#hosts.find(({ row }) => row.incarnation === incarnation)
  }

  #tick (host: Host): void {
    if (!host.isRunning) return
    this.#admitWaiting(host)
    this.#options.time.schedule(TICK_MS, () => { this.#tick(host) })
  }

  #admitWaiting (host: Host): void {
    const { organisation, time } = this.#options
    const now = time.readTime()
    while (host.waitingRequests.length > 0) {
      const first = host.waitingRequests[0] as Host['waitingRequests'][number]
      const admitted = host.holder.retryTake(organisation, now)
      if (!admitted && now < first.deadline) break
      host.waitingRequests.shift()
      first.decide(admitted)
    }
    host.holder.updateWaiting(organisation, host.waitingRequests.length, now)
    for (const effect of host.holder.listEffects(now)) this.#sendEffect(host, effect)
  }

  #sendEffect (host: Host, effect: GrantHolderEffect): void {
    const home = this.#findBudgetHome(host)
    const { organisation, time } = this.#options
    if (home === undefined) return
    if (effect.type === 'return') this.#call(home, () => { home.budgetHome.returnGrant(organisation, effect.grantId, effect.tokens, time.readTime()) }, () => {})
    else {
      const { requestId, wanted, demandPerSecond, closed } = effect
      this.#call(home, () => home.budgetHome.request({ organisation, holder: host.row.incarnation, wanted, demandPerSecond, closed }, time.readTime()), (response) => {
        host.holder.handleResponse(organisation, requestId, response, time.readTime())
        this.#admitWaiting(host)
      })
    }
  }

  /** Sends a message and delivers its response. A host that is down sends no response. */
  #call<Result> (target: Host, execute: () => Result, onResponse: (value: Result) => void): void {
    const delay = 0.5 + this.#options.random.takeFraction()
    this.#options.time.schedule(delay, () => {
      if (!target.isRunning) return
      const value = execute()
      this.#options.time.schedule(delay, () => { onResponse(value) })
    })
  }
}
