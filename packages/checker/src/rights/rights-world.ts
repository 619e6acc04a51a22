import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { PromotionAnswer, Promoter } from '@tanagerusher/coordination/common/promoter'
import type { PromotionOrder } from '@tanagerusher/coordination/common/promotion-order'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Violation } from '../common/violation.js'
import type { GoingOnDatabase } from './going-on-database.js'
import { VirtualTime } from './virtual-time.js'

const STEP_DOWN_MS = 1000
const LOST_PERCENT = 50
const LATE_MINIMUM_MS = 500
const LATE_MAXIMUM_MS = 4000
const SLOW_MS = 900
const SLOW_ANSWERS_PERCENT = 50
const CALL_TIMEOUT_MS = 1000
const GROUP = 'g'

/** Store, endpoint and databases of one group by the users' pages: a promoted database leads beside the old one for a while. */
export class RightsWorld {
  readonly time: VirtualTime
  readonly hosts: readonly HostRecord[]
  readonly databases: GoingOnDatabase[] = ['a', 'b', 'c'].map((id, index) => ({ id, term: 1, leads: index === 0, log: [], isLeaving: false }))
  readonly violations: Violation[] = []
  /** Troubles by name, with the time of their end. */
  readonly troubles = new Map<string, number>()
  /** Commits that a promotion cut off. */
  readonly rolledBack = new Set<string>()
  readonly acknowledged = new Set<string>()
  primary = this.databases[0] as GoingOnDatabase
  promotions = 0
  #objects = new Map<string, StoreObject>()
  #revision = 100
  #tokens: Array<{ token: number, host: string }> = []

  private constructor (seed: number, hosts: number) {
    this.time = VirtualTime.create({ seed, findResume: (host) => this.findTrouble(`suspend ${host}`) })
    this.hosts = Array.from({ length: hosts }, (_, index) => ({ host: `h${index}`, incarnation: `i${index}`, address: '10.0.0.1', port: 1, dataCentre: 'z', region: 'r' }))
    for (const record of this.hosts) this.#put(fleetObjects.formatHostName(record.host), record)
  }

  static create ({ seed, hosts }: { seed: number, hosts: number }): RightsWorld {
    return new RightsWorld(seed, hosts)
  }

  /** End of a trouble that is on; undefined when it is not. */
  findTrouble (name: string): number | undefined {
    const until = this.troubles.get(name)
    return until !== undefined && until > this.time.now ? until : undefined
  }

  has (name: string): boolean { return this.findTrouble(name) !== undefined }

  listRecords (): UpstreamRecord[] {
    return this.databases.map(({ id, leads, isLeaving, term }) => ({
      id, group: GROUP, address: '', dataCentre: 'z', slots: 3, isLeaving, claimsPrimary: leads, startedAt: 1, revision: leads ? term : 0
    }))
  }

  /** A message of a host, handled after `workMs` and answered after `answerMs` more; `undefined` when it or its answer is lost. */
  async send<Answer> (host: number, isReachable: () => boolean, handle: () => Answer, timeoutMs: number, { workMs = 0, answerMs = 0 } = {}): Promise<Answer | undefined> {
    return await new Promise((resolve) => {
      const timer = this.time.add(timeoutMs, () => { resolve(undefined) }, host)
      this.time.add(this.time.queue.chooseNumber(1, 20), () => {
        if (isReachable()) this.time.add(workMs, () => { finish(handle()) })
      })
      const finish = (answer: Answer): void => {
        this.time.add(this.time.queue.chooseNumber(1, 20) + answerMs, () => {
          timer.isCancelled = true
          resolve(answer)
        }, host)
      }
    })
  }

  isDatabaseReachable (host: number, id: string): boolean {
    return !this.has(`dark ${id}`) && !this.has(`path ${host} ${id}`)
  }

  createStore (host: number): ObjectStore {
    const change = async (name: string, value: unknown, revision: number | undefined): Promise<StoreResult<StoreObject>> => await this.#change(host, name, value, revision)
    return {
      list: async () => await this.#call(host, () => ({ type: 'ok' as const, value: { revision: this.#revision, objects: [...this.#objects.values()] } })),
      watch: async () => ({ type: 'rejected', reason: 'not played' }),
      create: async (_kind, name, value) => await change(name, value, 0),
      replace: async (_kind, name, value, revision) => await change(name, value, revision),
      remove: async () => ({ type: 'rejected', reason: 'not played' }),
      close: () => {}
    }
  }

  createPromoter (host: number): Promoter {
    return {
      promote: async (order, timeoutMs) => {
        this.#checkToken(order)
        const isLost = this.has('endpoint loses') && this.#decide(LOST_PERCENT)
        const delayMs = isLost ? this.time.queue.chooseNumber(LATE_MINIMUM_MS, LATE_MAXIMUM_MS) : 0
        const answer = await this.send<PromotionAnswer | undefined>(host, () => true, () => {
          if (!isLost) return this.#promote(order.id)
          this.time.add(delayMs, () => { this.#promote(order.id) })
          return undefined
        }, timeoutMs)
        return answer ?? { type: 'no-answer', reason: 'lost' }
      }
    }
  }

  /** Commits of a database reach the others of its term. */
  commit (database: GoingOnDatabase, data: string): void {
    const { term } = database
    database.log.push(data)
    if (this.has(`cut ${database.id}`)) return
    for (const other of this.databases) {
      if (!other.leads) this.time.add(this.time.queue.chooseNumber(1, 40), () => { if (!other.leads && other.term === term && !this.has(`cut ${other.id}`) && !this.has(`dark ${other.id}`)) other.log.push(data) })
    }
  }

  stepDown (database: GoingOnDatabase, term: number): void {
    if (!database.leads || database === this.primary || term <= database.term) return
    database.leads = false
    this.#follow(database)
  }

  #promote (id: string): PromotionAnswer {
    const next = this.databases.find((database) => database.id === id) as GoingOnDatabase
    if (this.has(`dark ${id}`)) return { type: 'refused', reason: 'not running' }
    if (next === this.primary) return { type: 'promoted' }
    const old = this.primary
    const kept = new Set(next.log)
    for (const data of old.log) if (!kept.has(data)) this.rolledBack.add(data)
    this.primary = next
    this.promotions++
    next.leads = true
    next.term = Math.max(...this.databases.map(({ term }) => term)) + 1
    for (const database of this.databases) if (!database.leads) this.#follow(database)
    this.#stepDownLater(old)
    return { type: 'promoted' }
  }

  #follow (database: GoingOnDatabase): void {
    database.term = this.primary.term
    database.log = [...this.primary.log]
  }

  #stepDownLater (database: GoingOnDatabase): void {
    this.time.add(STEP_DOWN_MS, () => {
      if (this.has(`cut ${database.id}`) || this.has(`dark ${database.id}`)) this.#stepDownLater(database)
      else this.stepDown(database, this.primary.term)
    })
  }

  #checkToken ({ fencingToken, host }: PromotionOrder): void {
    const higher = this.#tokens.find(({ token }) => token > fencingToken)
    const shared = this.#tokens.find((sent) => sent.token === fencingToken && sent.host !== host)
    if (higher !== undefined) this.violations.push({ promise: 'tokens rise', detail: `${fencingToken} of ${host} after ${higher.token} of ${higher.host}` })
    if (shared !== undefined) this.violations.push({ promise: 'tokens are unique', detail: `${fencingToken} of ${host} and ${shared.host}` })
    this.#tokens.push({ token: fencingToken, host })
  }

  async #call<Value> (host: number, handle: () => StoreResult<Value>): Promise<StoreResult<Value>> {
    const slowMs = this.has('store slow') ? this.time.queue.chooseNumber(0, SLOW_MS) : 0
    const delays = this.has(`answers ${host}`) ? { answerMs: SLOW_MS } : this.#decide(SLOW_ANSWERS_PERCENT) ? { answerMs: slowMs } : { workMs: slowMs }
    const isLost = this.has('store loses') && this.#decide(LOST_PERCENT)
    const answer = await this.send(host, () => !this.has(`store ${host}`), () => isLost ? undefined : handle(), CALL_TIMEOUT_MS, delays)
    return answer ?? { type: 'no-answer', reason: 'lost' }
  }

  async #change (host: number, name: string, value: unknown, revision: number | undefined): Promise<StoreResult<StoreObject>> {
    const apply = (): StoreResult<StoreObject> => {
      const known = this.#objects.get(name)?.revision ?? 0
      return revision !== undefined && known !== revision ? { type: 'conflict' } : { type: 'ok', value: this.#put(name, value) }
    }
    if (!this.has('store loses') || !this.#decide(LOST_PERCENT)) return await this.#call(host, apply)
    if (!this.has(`store ${host}`)) this.time.add(this.time.queue.chooseNumber(0, LATE_MAXIMUM_MS), () => { apply() })
    await new Promise<void>((resolve) => { this.time.add(CALL_TIMEOUT_MS, resolve, host) })
    return { type: 'no-answer', reason: 'lost' }
  }

  #put (name: string, value: unknown): StoreObject {
    const object = { name, revision: ++this.#revision, value }
    this.#objects.set(name, object)
    return object
  }

  #decide (percent: number): boolean { return this.time.queue.chooseNumber(0, 99) < percent }
}
