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
  isAlive: boolean
  shares: ShareTable
  delegation: ShareDelegator
  home: BudgetHome
  holder: GrantHolder
  waiting: Array<{ deadline: number, decide: (admitted: boolean) => void }>
  /** Hosts that this host takes for serving. */
  view: Set<string>
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
const HEARTBEAT_MS = 500
const DELEGATION_MS = 1000
const TICK_MS = 5
const REMOVED_AFTER_MS = 5000

/** The product's share table, delegations, homes and grants, joined by messages with a delay in virtual time. */
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
      this.#heartbeat(host)
      this.#renew(host)
      this.#tick(host)
    }
  }

  static create (options: CreateOptions): GrantPolicy {
    return new GrantPolicy(options)
  }

  request (index: number, decide: (admitted: boolean) => void): void {
    const host = this.#hosts[index] as Host
    const now = this.#options.time.readTime()
    if (host.isAlive && host.waiting.length === 0 && host.holder.take(this.#options.organisation, now)) decide(true)
    else if (host.isAlive) host.waiting.push({ deadline: now + GRANT_WAIT_MS, decide })
    else decide(false)
    this.#serve(host)
  }

  setStoreAvailable (available: boolean): void {
    this.#isStoreAvailable = available
  }

  loseHost (index: number): void {
    const lost = this.#hosts[index] as Host
    lost.isAlive = false
    this.#options.time.schedule(REMOVED_AFTER_MS, () => { for (const { view } of this.#hosts) view.delete(lost.row.incarnation) })
  }

  #buildHost (row: ShareRow, rows: ShareRow[]): Host {
    const { organisation, rate, burst } = this.#options
    const shares = ShareTable.create({ self: row })
    shares.apply(1, { generation: 1, hosts: rows, previousHosts: [] }, 0)
    const home = BudgetHome.create({ incarnation: row.incarnation })
    home.updateLimits(organisation, { rate, burst }, 0)
    return {
      row, isAlive: true, shares, delegation: ShareDelegator.create(), home, holder: GrantHolder.create(), waiting: [], view: new Set(rows.map(({ incarnation }) => incarnation))
    }
  }

  /** Heartbeats confirm the share table; one store read a second does too while the store is there. */
  #heartbeat (host: Host): void {
    if (!host.isAlive) return
    const sentAt = this.#options.time.readTime()
    for (const peer of this.#hosts) {
      if (peer === host) continue
      this.#call(peer, () => peer.shares.version, (tableVersion) => { host.shares.recordHeartbeatResponse({ ...peer.row, tableVersion, sentAt }, this.#options.time.readTime()) })
    }
    if (this.#isStoreAvailable) {
      this.storeCalls++
      this.#options.time.schedule(4, () => { host.shares.recordStoreConfirmation(sentAt) })
    }
    this.#options.time.schedule(HEARTBEAT_MS, () => { this.#heartbeat(host) })
  }

  #renew (host: Host): void {
    if (!host.isAlive) return
    const sentAt = this.#options.time.readTime()
    if (this.#findHome(host) === host) {
      for (const giver of this.#hosts) {
        this.#call(giver, () => this.#delegate(giver, host), ({ partitions, validMs, fraction }) => {
          host.home.addDelegation({ delegator: giver.row.incarnation, partitions, fraction, validMs, sentAt }, this.#options.time.readTime())
        })
      }
    }
    this.#options.time.schedule(DELEGATION_MS, () => { this.#renew(host) })
  }

  #delegate (giver: Host, home: Host): { partitions: number[], validMs: number, fraction: number } {
    const now = this.#options.time.readTime()
    const share = giver.shares.readShare(now)
    const isPreferred = (): boolean => this.#findHome(giver) === home
    const given = giver.delegation.delegate({ home: home.row.incarnation, sequence: ++this.#sequence, partitions: [this.#partition], isPreferred, shareValidMs: share.validMs }, now)
    return { ...given, fraction: share.fraction }
  }

  #findHome (host: Host): Host | undefined {
    const incarnation = listPartitionHomes([...host.view])[this.#partition]
    return this.#hosts.find(({ row }) => row.incarnation === incarnation)
  }

  #tick (host: Host): void {
    if (!host.isAlive) return
    this.#serve(host)
    this.#options.time.schedule(TICK_MS, () => { this.#tick(host) })
  }

  #serve (host: Host): void {
    const { organisation, time } = this.#options
    const now = time.readTime()
    while (host.waiting.length > 0) {
      const first = host.waiting[0] as Host['waiting'][number]
      const admitted = host.holder.retryTake(organisation, now)
      if (!admitted && now < first.deadline) break
      host.waiting.shift()
      first.decide(admitted)
    }
    host.holder.updateWaiting(organisation, host.waiting.length, now)
    for (const effect of host.holder.listEffects(now)) this.#send(host, effect)
  }

  #send (host: Host, effect: GrantHolderEffect): void {
    const home = this.#findHome(host)
    const { organisation, time } = this.#options
    if (home === undefined) return
    if (effect.type === 'return') this.#call(home, () => { home.home.returnGrant(organisation, effect.grantId, effect.tokens, time.readTime()) }, () => {})
    else {
      const { requestId, wanted, demandPerSecond, closed } = effect
      this.#call(home, () => home.home.request({ organisation, holder: host.row.incarnation, wanted, demandPerSecond, closed }, time.readTime()), (answer) => {
        host.holder.handleResponse(organisation, requestId, answer, time.readTime())
        this.#serve(host)
      })
    }
  }

  /** A message and its answer; a host that is lost answers nothing. */
  #call<Answer> (target: Host, execute: () => Answer, answer: (value: Answer) => void): void {
    const delay = 0.5 + this.#options.random.takeFraction()
    this.#options.time.schedule(delay, () => {
      if (!target.isAlive) return
      const value = execute()
      this.#options.time.schedule(delay, () => { answer(value) })
    })
  }
}
