import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { PromotionResult, Promoter } from '@tanagerusher/coordination/common/promoter'
import type { PromotionRequest } from '@tanagerusher/coordination/common/promotion-request'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Violation } from '../common/violation.js'
import type { FakeDatabase } from './fake-database.js'
import { VirtualTime } from './virtual-time.js'

const STEP_DOWN_DELAY_MS = 1000
const LOST_PERCENT = 50
/** Limits of the time after which a call whose response was lost takes effect. */
const MINIMUM_LATE_EFFECT_MS = 500
const MAXIMUM_LATE_EFFECT_MS = 4000
const MAXIMUM_STORE_DELAY_MS = 900
const SLOW_RESPONSES_PERCENT = 50
const CALL_TIMEOUT_MS = 1000
const GROUP = 'g'

/**
 * Simulates the store, the promotion endpoint and the databases of one group as the platform documents them: after a promotion,
 * the old primary keeps serving beside the new one until it steps down.
 */
export class LeaseSimulation {
  readonly time: VirtualTime
  readonly hosts: readonly HostRecord[]
  readonly databases: FakeDatabase[] = ['a', 'b', 'c'].map((id, index) => ({ id, term: 1, isActingPrimary: index === 0, log: [], isLeaving: false }))
  readonly violations: Violation[] = []
  /** End times of the faults, by name. */
  readonly faultEndTimes = new Map<string, number>()
  /** Commits of an old primary that its promoted successor lacked. */
  readonly rolledBack = new Set<string>()
  readonly acknowledged = new Set<string>()
  primary = this.databases[0] as FakeDatabase
  promotions = 0
  /** Their revisions are the store's own counters. */
  #objects = new Map<string, StoreObject>()
  #revision = 100
  #era = 0
  #fencingTokens: Array<{ token: number, host: string }> = []

  private constructor (seed: number, hosts: number) {
    this.time = VirtualTime.create({ seed, findResumeTime: (host) => this.findFaultEnd(`suspend ${host}`) })
    this.hosts = Array.from({ length: hosts }, (_, index) => ({ host: `h${index}`, incarnation: `i${index}`, address: '10.0.0.1', port: 1, dataCentre: 'z', region: 'r' }))
    for (const record of this.hosts) this.#put(fleetObjects.formatHostName(record.host), record)
  }

  static create ({ seed, hosts }: { seed: number, hosts: number }): LeaseSimulation {
    return new LeaseSimulation(seed, hosts)
  }

  /** Returns the end time of an active fault, or undefined when it is not active. */
  findFaultEnd (name: string): number | undefined {
    const until = this.faultEndTimes.get(name)
    return until !== undefined && until > this.time.now ? until : undefined
  }

  hasFault (name: string): boolean { return this.findFaultEnd(name) !== undefined }

  listRecords (): UpstreamRecord[] {
    return this.databases.map(({ id, isActingPrimary, isLeaving, term }) => ({
      id, group: GROUP, address: '', dataCentre: 'z', slots: 3, isLeaving, claimsPrimary: isActingPrimary, startedAt: 1, warmupLeftMs: 0, revision: isActingPrimary ? term : 0
    }))
  }

  /**
   * Sends a message of a host, which is handled after `workMs`; the response follows after another `responseDelayMs`.
   * Resolves with undefined when none arrives within `timeoutMs`.
   */
  async send<Answer> (host: number, isReachable: () => boolean, handle: () => Answer, timeoutMs: number, { workMs = 0, responseDelayMs = 0 } = {}): Promise<Answer | undefined> {
    return await new Promise((resolve) => {
      const timer = this.time.add(timeoutMs, () => { resolve(undefined) }, host)
      this.time.add(this.time.queue.chooseNumber(1, 20), () => {
        if (isReachable()) this.time.add(workMs, () => { finish(handle()) })
      })
      const finish = (answer: Answer): void => {
        this.time.add(this.time.queue.chooseNumber(1, 20) + responseDelayMs, () => {
          timer.isCancelled = true
          resolve(answer)
        }, host)
      }
    })
  }

  isDatabaseReachable (host: number, id: string): boolean {
    return !this.hasFault(`unreachable ${id}`) && !this.hasFault(`path ${host} ${id}`)
  }

  createStore (host: number): ObjectStore {
    let knownEra = 0
    const change = async (name: string, value: unknown, revision: number | undefined): Promise<StoreResult<StoreObject>> => {
      if (revision !== undefined && revision > 0 && orderedRevision.readEra(revision) < knownEra) return { type: 'conflict' }
      return await this.#change(host, name, value, revision)
    }
    return {
      list: async () => {
        const list = await this.#call(host, () => ({ type: 'ok' as const, value: { revision: this.#composeRevision(this.#revision), objects: [...this.#objects.values()].map((object) => this.#compose(object)) } }))
        if (list.type === 'ok') knownEra = Math.max(knownEra, orderedRevision.readEra(list.value.revision))
        return list
      },
      watch: async () => ({ type: 'rejected', reason: 'not simulated' }),
      create: async (_kind, name, value) => await change(name, value, 0),
      replace: async (_kind, name, value, revision) => await change(name, value, revision),
      remove: async () => ({ type: 'rejected', reason: 'not simulated' }),
      close: () => {}
    }
  }

  createStoreCopy (): { objects: Map<string, StoreObject>, revision: number } {
    return { objects: new Map(this.#objects), revision: this.#revision }
  }

  /** Begins a new era of the store with the objects and the counter of the copy. */
  restoreStore ({ objects, revision }: ReturnType<LeaseSimulation['createStoreCopy']>): void {
    this.#objects = new Map(objects)
    this.#revision = revision
    this.#era++
  }

  createPromoter (host: number): Promoter {
    return {
      promote: async (order, timeoutMs) => {
        this.#checkFencingToken(order)
        const isLost = this.hasFault('endpoint loses') && this.#chooseBoolean(LOST_PERCENT)
        const delayMs = isLost ? this.time.queue.chooseNumber(MINIMUM_LATE_EFFECT_MS, MAXIMUM_LATE_EFFECT_MS) : 0
        const answer = await this.send<PromotionResult | undefined>(host, () => true, () => {
          if (!isLost) return this.#promote(order.id)
          this.time.add(delayMs, () => { this.#promote(order.id) })
          return undefined
        }, timeoutMs)
        return answer ?? { type: 'no-answer', reason: 'lost' }
      }
    }
  }

  /** Appends a commit to the log of a database and replicates it to the replicas of the same term. */
  commit (database: FakeDatabase, data: string): void {
    const { term } = database
    database.log.push(data)
    if (this.hasFault(`cut ${database.id}`)) return
    for (const other of this.databases) {
      if (!other.isActingPrimary) this.time.add(this.time.queue.chooseNumber(1, 40), () => { if (!other.isActingPrimary && other.term === term && !this.hasFault(`cut ${other.id}`) && !this.hasFault(`unreachable ${other.id}`)) other.log.push(data) })
    }
  }

  stepDown (database: FakeDatabase, term: number): void {
    if (!database.isActingPrimary || database === this.primary || term <= database.term) return
    database.isActingPrimary = false
    this.#follow(database)
  }

  #promote (id: string): PromotionResult {
    const next = this.databases.find((database) => database.id === id) as FakeDatabase
    if (this.hasFault(`unreachable ${id}`)) return { type: 'refused', reason: 'not running' }
    if (next === this.primary) return { type: 'promoted' }
    const old = this.primary
    const keptCommits = new Set(next.log)
    for (const data of old.log) if (!keptCommits.has(data)) this.rolledBack.add(data)
    this.primary = next
    this.promotions++
    next.isActingPrimary = true
    next.term = Math.max(...this.databases.map(({ term }) => term)) + 1
    for (const database of this.databases) if (!database.isActingPrimary) this.#follow(database)
    this.#stepDownLater(old)
    return { type: 'promoted' }
  }

  #follow (database: FakeDatabase): void {
    database.term = this.primary.term
    database.log = [...this.primary.log]
  }

  #stepDownLater (database: FakeDatabase): void {
    this.time.add(STEP_DOWN_DELAY_MS, () => {
      if (this.hasFault(`cut ${database.id}`) || this.hasFault(`unreachable ${database.id}`)) this.#stepDownLater(database)
      else this.stepDown(database, this.primary.term)
    })
  }

  #checkFencingToken ({ fencingToken, host }: PromotionRequest): void {
    const higher = this.#fencingTokens.find(({ token }) => token > fencingToken)
    const shared = this.#fencingTokens.find((sent) => sent.token === fencingToken && sent.host !== host)
    if (higher !== undefined) this.violations.push({ promise: 'tokens rise', detail: `${fencingToken} of ${host} after ${higher.token} of ${higher.host}` })
    if (shared !== undefined) this.violations.push({ promise: 'tokens are unique', detail: `${fencingToken} of ${host} and ${shared.host}` })
    this.#fencingTokens.push({ token: fencingToken, host })
  }

  async #call<Value> (host: number, handle: () => StoreResult<Value>): Promise<StoreResult<Value>> {
    const slowMs = this.hasFault('store slow') ? this.time.queue.chooseNumber(0, MAXIMUM_STORE_DELAY_MS) : 0
    const delays = this.hasFault(`slow-responses ${host}`) ? { responseDelayMs: MAXIMUM_STORE_DELAY_MS } : this.#chooseBoolean(SLOW_RESPONSES_PERCENT) ? { responseDelayMs: slowMs } : { workMs: slowMs }
    const isLost = this.hasFault('store loses') && this.#chooseBoolean(LOST_PERCENT)
    const answer = await this.send(host, () => !this.hasFault(`store ${host}`), () => isLost ? undefined : handle(), CALL_TIMEOUT_MS, delays)
    return answer ?? { type: 'no-answer', reason: 'lost' }
  }

  async #change (host: number, name: string, value: unknown, revision: number | undefined): Promise<StoreResult<StoreObject>> {
    const apply = (): StoreResult<StoreObject> => {
      const known = this.#objects.get(name)?.revision ?? 0
      if (revision !== undefined && known !== orderedRevision.encode(revision).revision) return { type: 'conflict' }
      const written = this.#put(name, value)
      // A condition of an earlier era may hold for a counter that was given out again.
      return revision === undefined || revision === 0 || orderedRevision.readEra(revision) === this.#era ? { type: 'ok', value: written } : { type: 'no-answer', reason: 'restored' }
    }
    if (!this.hasFault('store loses') || !this.#chooseBoolean(LOST_PERCENT)) return await this.#call(host, apply)
    if (!this.hasFault(`store ${host}`)) this.time.add(this.time.queue.chooseNumber(0, MAXIMUM_LATE_EFFECT_MS), () => { apply() })
    await new Promise<void>((resolve) => { this.time.add(CALL_TIMEOUT_MS, resolve, host) })
    return { type: 'no-answer', reason: 'lost' }
  }

  #put (name: string, value: unknown): StoreObject {
    const object = { name, revision: ++this.#revision, value }
    this.#objects.set(name, object)
    return this.#compose(object)
  }

  #compose (object: StoreObject): StoreObject {
    return { ...object, revision: this.#composeRevision(object.revision) }
  }

  #composeRevision (revision: number): number {
    return orderedRevision.decode({ era: this.#era, revision }) as number
  }

  #chooseBoolean (percentTrue: number): boolean { return this.time.queue.chooseNumber(0, 99) < percentTrue }
}
