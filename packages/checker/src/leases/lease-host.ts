import { SuspensionDetector } from '@tanagerusher/coordination/clock/suspension-detector'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { ExpiringLeases } from '@tanagerusher/coordination/failover/expiring-leases'
import { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { promotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import { parseFleetObjects } from '@tanagerusher/coordination/membership/parse-fleet-objects'
import { FailoverTask } from '@tanagerusher/host/failover/failover-task'
import { ClaimRestorer } from '@tanagerusher/host/failover/claim-restorer'
import { ClaimHandler } from '@tanagerusher/host/failover/claim-handler'
import { delay } from '@tanagerusher/host/program/delay'
import { PrimaryGuard } from '@tanagerusher/host/upstream/primary-guard'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { LeaseSimulation } from './lease-simulation.js'
import type { FakeDatabase } from './fake-database.js'
import type { LeaseSwitches } from './lease-switches.js'

interface CreateOptions {
  index: number
  simulation: LeaseSimulation
  switches: LeaseSwitches
  findHost: (index: number) => LeaseHost
}

interface Notice { group: string, claim: unknown, era: number, revision: number, quiesceMs: number }

const GROUP = 'g'
const LEASE_LIMIT_MS = 3000
/** Hosts that write lost claims again. */
const RELAY_COUNT = 2
const CONFIRMATION_INTERVAL_MS = 600
const STATEMENT_TIMEOUT_MS = 760
const PROBE_TIMEOUT_MS = 400
const CONTROL_TIMEOUT_MS = 1000
/** Shorter than `STATEMENT_TIMEOUT_MS`, so that slow statements still complete. */
const MAXIMUM_SLOW_WORK_MS = 700

/** One host with the product's failover task, leases and primary guards, driven over the simulation of a schedule. */
export class LeaseHost {
  readonly #options: CreateOptions
  readonly #leases: ExpiringLeases
  readonly #leaders = LeaderView.create({ isAppointmentBinding: true })
  readonly #claims: ClaimHandler
  readonly #guards = new Map<string, PrimaryGuard>()
  readonly #health = new Map<string, UpstreamHealth>()
  readonly #detector = SuspensionDetector.create()
  readonly #failover: FailoverTask
  #suspendedMs = 0
  #suspensions = 0
  #confirmedAt = -Infinity
  /** Claims in the last list of the store. */
  #stored = new Map<string, StoreObject>()
  #listRevision = 0
  #restoredAt: number | undefined
  readonly #claimRestorer: ClaimRestorer
  #invalidatedAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#leases = ExpiringLeases.create({ limitMs: options.switches.neverExpire === true ? Infinity : LEASE_LIMIT_MS })
    const logger = { info: () => {}, warn: () => {}, error: () => {} }
    const quiesce = async (_group: string, timeLeftMs: number): Promise<void> => {
      await Promise.all([...this.#guards.values()].map(async (guard) => { await guard.quiesce(() => true, timeLeftMs) }))
    }
    this.#claimRestorer = ClaimRestorer.create({
      store: options.simulation.createStore(options.index),
      leases: this.#leases,
      relays: { isSelfRelay: options.index < RELAY_COUNT } as never,
      findStored: (name) => this.#stored.get(name),
      readCopyRevision: () => this.#listRevision,
      logger: logger as never
    })
    this.#claims = ClaimHandler.create({ leases: this.#leases, leaders: this.#leaders, quiesce, logger: logger as never })
    this.#failover = this.#createFailover(logger)
  }

  static create (options: CreateOptions): LeaseHost {
    return new LeaseHost(options)
  }

  start (): void {
    const { simulation, index } = this.#options
    simulation.time.runAs(index, () => {
      this.#failover.start()
      void this.#runConfirmations()
    })
  }

  close (): void {
    this.#failover.close()
    this.#claimRestorer.close()
  }

  recordSuspension (durationMs: number): void { this.#suspendedMs += durationMs }

  /** Writes at the current primary in the view of this host. Returns whether the caller received a success. */
  async write (data: string): Promise<boolean> {
    const { simulation, switches } = this.#options
    const sent = await this.#sendToLeader((database) => {
      if (!database.isActingPrimary) return { type: 'failed', failure: 'not-primary', text: '' }
      simulation.commit(database, data)
      return { type: 'done', proof: database === simulation.primary ? 'leads' : 'replaced', rows: [] }
    })
    if (sent === undefined) return false
    const answer = switches.skipResponseCheck === true ? sent.answer : await sent.guard.decideCommit(sent.answer, sent.revision, STATEMENT_TIMEOUT_MS)
    if (answer.type !== 'done') return false
    if (answer.proof === 'replaced') this.#recordViolation('no write of an old primary is acknowledged', data)
    if (simulation.rolledBack.has(data)) this.#recordViolation('no write is acknowledged after a promotion cut it off', data)
    simulation.acknowledged.add(data)
    return true
  }

  async read (): Promise<void> {
    const { simulation } = this.#options
    const expected = [...simulation.acknowledged]
    await this.#sendToLeader((database) => {
      if (!database.isActingPrimary) return { type: 'failed', failure: 'not-primary', text: '' }
      const missing = expected.filter((data) => !database.log.includes(data) && !simulation.rolledBack.has(data))
      if (missing.length > 0) this.#recordViolation('a read sees all acknowledged commits', `${missing.join(' ')} at ${database.id}`)
      return { type: 'done', proof: '', rows: [] }
    })
  }

  async #sendToLeader (run: (database: FakeDatabase) => StatementResponse): Promise<{ answer: StatementResponse, revision: number, guard: PrimaryGuard } | undefined> {
    const record = this.#leaders.findLeader(GROUP, this.#options.simulation.listRecords())
    if (record === undefined) return undefined
    const guard = this.#findGuard(record.id)
    const check = await guard.wait(false, STATEMENT_TIMEOUT_MS)
    if (check.type === 'refused') return undefined
    const [answer] = await guard.track([this.#send(record.id, run, STATEMENT_TIMEOUT_MS)]) as [StatementResponse]
    this.#recordHealth(record.id, answer)
    if (answer.type === 'failed') this.#leaders.recordRefusal(record)
    return { answer, revision: check.revision, guard }
  }

  async #send (id: string, run: (database: FakeDatabase) => StatementResponse, timeoutMs: number): Promise<StatementResponse> {
    const { simulation, index } = this.#options
    const database = simulation.databases.find((known) => known.id === id) as FakeDatabase
    const answer = await simulation.send(index, () => simulation.isDatabaseReachable(index, id), () => run(database), timeoutMs, { workMs: simulation.hasFault(`slow ${id}`) ? simulation.time.queue.chooseNumber(0, MAXIMUM_SLOW_WORK_MS) : 0 })
    return answer ?? { type: 'lost', reason: 'no answer' }
  }

  #recordHealth (id: string, answer: StatementResponse): void {
    const health = this.#health.get(id) ?? UpstreamHealth.create()
    this.#health.set(id, health)
    if (answer.type === 'lost') health.recordFailure(this.#readTime())
    else health.recordResponse(this.#readTime())
  }

  #findGuard (id: string): PrimaryGuard {
    const guard = this.#guards.get(id) ?? PrimaryGuard.create({
      leases: this.#leases, group: GROUP, databaseId: id, clock: { readTime: () => this.#readTime() }, checkClocks: () => { this.#checkClocks() }
    })
    this.#guards.set(id, guard)
    return guard
  }

  #readTime (): number { return this.#options.simulation.time.now - this.#suspendedMs }

  #checkClocks (): void {
    const { simulation, switches } = this.#options
    if (switches.ignoreSuspension === true || !this.#detector.check(this.#readTime(), simulation.time.now)) return
    this.#suspensions++
    this.#leases.invalidateConfirmation(this.#readTime())
    this.#confirmedAt = -Infinity
    this.#invalidatedAt = this.#readTime()
  }

  /** Confirms the leases periodically with the claims from the store or, when that fails, from another host together with their age. */
  async #runConfirmations (): Promise<void> {
    const { simulation, index, switches, findHost } = this.#options
    const store = simulation.createStore(index)
    for (;;) {
      const requestedAt = this.#readTime()
      const list = await store.list('')
      this.#checkClocks()
      if (list.type === 'ok' && list.value.revision >= this.#listRevision) {
        this.#applyStored(list.value.objects, list.value.revision)
        this.#confirm(switches.countFromResponse === true ? this.#readTime() : requestedAt, requestedAt)
      } else {
        const other = (index + 1 + simulation.time.queue.chooseNumber(0, simulation.hosts.length - 2)) % simulation.hosts.length
        const response = await simulation.send(index, () => this.#isHostReachable(other) && !simulation.hasFault(`suspend ${other}`), () => findHost(other).describeCopy(), PROBE_TIMEOUT_MS)
        if (response !== undefined && response.listRevision > this.#listRevision) this.#applyStored(response.stored, response.listRevision)
        const isSameEra = response !== undefined && orderedRevision.readEra(response.listRevision) === orderedRevision.readEra(this.#listRevision)
        if (isSameEra) this.#confirm(switches.countFromResponse === true ? this.#readTime() : requestedAt - response.ageMs, requestedAt)
      }
      await delay(CONFIRMATION_INTERVAL_MS)
    }
  }

  #applyStored (objects: readonly StoreObject[], listRevision: number): void {
    const isRestored = orderedRevision.readEra(listRevision) > orderedRevision.readEra(this.#listRevision)
    if (isRestored) this.#restoredAt = this.#readTime()
    this.#listRevision = listRevision
    this.#stored = new Map(objects.map((object) => [object.name, object]))
    for (const { group, claim, revision } of parseFleetObjects(objects).claims) this.#claims.apply(group, claim, revision)
  }

  #confirm (confirmedAt: number, requestedAt: number): void {
    if (this.#options.switches.skipClaimRestore !== true && !this.#claimRestorer.hasAllClaims()) {
      void this.#claimRestorer.run()
      return
    }
    if (requestedAt > this.#invalidatedAt) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
    this.#leases.confirm(confirmedAt, requestedAt)
  }

  describeCopy (): { stored: StoreObject[], listRevision: number, ageMs: number } {
    this.#checkClocks()
    return { stored: [...this.#stored.values()], listRevision: this.#listRevision, ageMs: this.#readTime() - this.#confirmedAt }
  }

  async handleNotice ({ group, claim, era, revision, quiesceMs }: Notice): Promise<object> {
    const isReleased = await this.#claims.release(group, promotionClaim.parse(claim), orderedRevision.decode({ era, revision }) as number, quiesceMs)
    if (!isReleased) throw new Error('a newer claim of the group is known')
    return {}
  }

  #isHostReachable (other: number): boolean {
    const { simulation, index } = this.#options
    return !simulation.hasFault(`hosts ${index}`) && !simulation.hasFault(`hosts ${other}`) && simulation.hasFault(`side ${index}`) === simulation.hasFault(`side ${other}`)
  }

  #createFailover (logger: object): FailoverTask {
    const { simulation, index, switches } = this.#options
    const clock = { readTime: () => this.#readTime() }
    const leases = { limitMs: switches.skipBarrier === true ? 0 : LEASE_LIMIT_MS, findClaim: (group: string) => this.#leases.findClaim(group) }
    const store = simulation.createStore(index)
    const adapter = {
      store: switches.skipConfirmation === true ? this.#skipConfirmations(store) : store,
      promoter: simulation.createPromoter(index),
      decodeUpstreamStatus: (rows: readonly string[]): UpstreamStatus => JSON.parse(rows[0] ?? '')
    } as unknown as PlatformAdapter
    const links = { all: simulation.hosts.map((_, other) => this.#createLink(other)).filter((_, other) => other !== index), find: (record: { host: string }) => this.#createLink(Number(record.host.slice(1))) }
    const registry = { find: ({ id }: { id: string }) => this.#createOwner(id) }
    const router = { hosts: simulation.hosts, listCandidates: () => [...simulation.hosts] }
    const catalogue = { groups: new Map([[GROUP, { maxConnections: 1, syncReplicas: 0 }]]) }
    return FailoverTask.create({
      self: simulation.hosts[index] as never,
      adapter,
      leaders: this.#leaders,
      links: links as never,
      registry: registry as never,
      router: router as never,
      listRecords: () => simulation.listRecords(),
      listDeparted: () => [],
      isEvacuated: () => false,
      isCold: () => false,
      findCatalogue: () => catalogue as never,
      leases: leases as never,
      claimHandler: this.#claims,
      findRestoreTime: (revision) => orderedRevision.readEra(revision) > orderedRevision.readEra(this.#listRevision) ? this.#readTime() : this.#restoredAt,
      countSuspensions: () => {
        this.#checkClocks()
        return this.#suspensions
      },
      clock,
      logger: logger as never
    })
  }

  /** Returns a store that reports the confirmation of a claim before a promotion call as written without writing it. */
  #skipConfirmations (store: ReturnType<LeaseSimulation['createStore']>): ReturnType<LeaseSimulation['createStore']> {
    return {
      ...store,
      replace: async (kind, name, value, revision) => (value as { phase?: string }).phase === 'called'
        ? { type: 'ok', value: { name, revision: revision ?? 0, value } }
        : await store.replace(kind, name, value, revision)
    }
  }

  #createLink (other: number): object {
    const { simulation, index, findHost } = this.#options
    return {
      record: simulation.hosts[other],
      isUp: true,
      readDownMs: () => this.#isHostReachable(other) && !simulation.hasFault(`suspend ${other}`) ? 0 : CONTROL_TIMEOUT_MS,
      watch: () => {},
      prepare: async () => this.#isHostReachable(other),
      request: async ({ method }: { method: string }, params: { databaseId: string } & Notice, timeoutMs: number) => await new Promise((resolve, reject) => {
        const timer = simulation.time.add(timeoutMs, () => { reject(new Error('no answer')) }, index)
        simulation.time.add(simulation.time.queue.chooseNumber(1, 20), () => {
          if (!this.#isHostReachable(other)) return
          const target = findHost(other)
          const handled = method === 'promotion.notice' ? target.handleNotice(params) : target.probe(params.databaseId).then((isReachable) => ({ isReachable }))
          const respond = (finish: () => void): void => {
            if (!this.#isHostReachable(other)) return
            simulation.time.add(simulation.time.queue.chooseNumber(1, 20), () => {
              timer.isCancelled = true
              finish()
            }, index)
          }
          handled.then((answer) => { respond(() => { resolve(answer) }) }, () => { respond(() => { reject(new Error('rejected')) }) })
        }, other)
      })
    }
  }

  async probe (id: string): Promise<boolean> {
    const answer = await this.#send(id, (database) => database.isActingPrimary ? { type: 'done', proof: '-', rows: [] } : { type: 'failed', failure: 'not-primary', text: '' }, PROBE_TIMEOUT_MS)
    this.#recordHealth(id, answer)
    const record = this.#options.simulation.listRecords().find((known) => known.id === id)
    if (answer.type === 'failed' && record !== undefined) this.#leaders.recordRefusal(record)
    return answer.type !== 'lost'
  }

  #createOwner (id: string): object {
    const health = this.#health.get(id) ?? UpstreamHealth.create()
    this.#health.set(id, health)
    return {
      health,
      probe: async () => await this.probe(id),
      runControl: async (command: UpstreamCommand) => await this.#send(id, (database) => {
        if (command.type === 'step-down') this.#options.simulation.stepDown(database, command.term)
        const status: UpstreamStatus = { isPrimary: database.isActingPrimary, term: database.term, position: { term: database.term, position: database.log.length } }
        return { type: 'done', proof: '-', rows: [JSON.stringify(status)] }
      }, CONTROL_TIMEOUT_MS),
      pauseWrites: () => {},
      resumeWrites: () => {}
    }
  }

  #recordViolation (promise: string, detail: string): void {
    const { simulation, index } = this.#options
    simulation.violations.push({ promise, detail: `${detail} through h${index} at ${Math.round(simulation.time.now)}` })
  }
}
