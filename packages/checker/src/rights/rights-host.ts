import { SuspensionDetector } from '@tanagerusher/coordination/clock/suspension-detector'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import { ExpiringLeases } from '@tanagerusher/coordination/failover/expiring-leases'
import { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { promotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import { parseFleetObjects } from '@tanagerusher/coordination/membership/parse-fleet-objects'
import { FailoverTask } from '@tanagerusher/host/failover/failover-task'
import { ClaimHandler } from '@tanagerusher/host/failover/claim-handler'
import { pause } from '@tanagerusher/host/program/pause'
import { PrimaryGuard } from '@tanagerusher/host/upstream/primary-guard'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { RightsWorld } from './rights-world.js'
import type { GoingOnDatabase } from './going-on-database.js'
import type { RightsSwitches } from './rights-switches.js'

interface CreateOptions {
  index: number
  world: RightsWorld
  switches: RightsSwitches
  findHost: (index: number) => RightsHost
}

interface Notice { group: string, claim: unknown, revision: number, quiesceMs: number }

const GROUP = 'g'
const LIMIT_MS = 3000
const PROOF_MS = 600
const STATEMENT_MS = 760
const PROBE_MS = 400
const CONTROL_MS = 1000
/** Within a statement's limit. */
const SLOW_WORK_MS = 700

/** The product's failover task, rights and gates of one host over the fakes of a schedule. */
export class RightsHost {
  readonly #options: CreateOptions
  readonly #rights: ExpiringLeases
  readonly #leaders = LeaderView.create({ isAppointmentBinding: true })
  readonly #claims: ClaimHandler
  readonly #gates = new Map<string, PrimaryGuard>()
  readonly #health = new Map<string, UpstreamHealth>()
  readonly #detector = SuspensionDetector.create()
  readonly #failover: FailoverTask
  #suspendedMs = 0
  #suspensions = 0
  #provenAt = -Infinity
  #invalidatedAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#rights = ExpiringLeases.create({ limitMs: options.switches.neverExpire === true ? Infinity : LIMIT_MS })
    const logger = { info: () => {}, warn: () => {}, error: () => {} }
    const quiesce = async (_group: string, timeLeftMs: number): Promise<void> => {
      await Promise.all([...this.#gates.values()].map(async (gate) => { await gate.quiesce(() => true, timeLeftMs) }))
    }
    this.#claims = ClaimHandler.create({ leases: this.#rights, leaders: this.#leaders, quiesce, logger: logger as never })
    this.#failover = this.#createFailover(logger)
  }

  static create (options: CreateOptions): RightsHost {
    return new RightsHost(options)
  }

  start (): void {
    const { world, index } = this.#options
    world.time.runAs(index, () => {
      this.#failover.start()
      void this.#prove()
    })
  }

  close (): void {
    this.#failover.close()
  }

  recordSuspension (durationMs: number): void { this.#suspendedMs += durationMs }

  /** Writes at the primary that this host knows; true when the caller got a success. */
  async write (data: string): Promise<boolean> {
    const { world, switches } = this.#options
    const sent = await this.#sendToLeader((database) => {
      if (!database.leads) return { type: 'failed', failure: 'not-primary', text: '' }
      world.commit(database, data)
      return { type: 'done', proof: database === world.primary ? 'leads' : 'replaced', rows: [] }
    })
    if (sent === undefined) return false
    const answer = switches.skipAnswerCheck === true ? sent.answer : await sent.gate.decideCommit(sent.answer, sent.revision, STATEMENT_MS)
    if (answer.type !== 'done') return false
    if (answer.proof === 'replaced') this.#report('no write of an old primary is acknowledged', data)
    if (world.rolledBack.has(data)) this.#report('no write is acknowledged after a promotion cut it off', data)
    world.acknowledged.add(data)
    return true
  }

  async read (): Promise<void> {
    const { world } = this.#options
    const expected = [...world.acknowledged]
    await this.#sendToLeader((database) => {
      if (!database.leads) return { type: 'failed', failure: 'not-primary', text: '' }
      const missing = expected.filter((data) => !database.log.includes(data) && !world.rolledBack.has(data))
      if (missing.length > 0) this.#report('a read sees all acknowledged commits', `${missing.join(' ')} at ${database.id}`)
      return { type: 'done', proof: '', rows: [] }
    })
  }

  async #sendToLeader (run: (database: GoingOnDatabase) => StatementAnswer): Promise<{ answer: StatementAnswer, revision: number, gate: PrimaryGuard } | undefined> {
    const record = this.#leaders.findLeader(GROUP, this.#options.world.listRecords())
    if (record === undefined) return undefined
    const gate = this.#findGate(record.id)
    const check = await gate.wait(false, STATEMENT_MS)
    if (check.type === 'refused') return undefined
    const [answer] = await gate.track([this.#send(record.id, run, STATEMENT_MS)]) as [StatementAnswer]
    this.#recordHealth(record.id, answer)
    if (answer.type === 'failed') this.#leaders.recordRefusal(record)
    return { answer, revision: check.revision, gate }
  }

  async #send (id: string, run: (database: GoingOnDatabase) => StatementAnswer, timeoutMs: number): Promise<StatementAnswer> {
    const { world, index } = this.#options
    const database = world.databases.find((known) => known.id === id) as GoingOnDatabase
    const answer = await world.send(index, () => world.isDatabaseReachable(index, id), () => run(database), timeoutMs, { workMs: world.has(`slow ${id}`) ? world.time.queue.chooseNumber(0, SLOW_WORK_MS) : 0 })
    return answer ?? { type: 'lost', reason: 'no answer' }
  }

  #recordHealth (id: string, answer: StatementAnswer): void {
    const health = this.#health.get(id) ?? UpstreamHealth.create()
    this.#health.set(id, health)
    if (answer.type === 'lost') health.recordFailure(this.#readTime())
    else health.recordResponse(this.#readTime())
  }

  #findGate (id: string): PrimaryGuard {
    const gate = this.#gates.get(id) ?? PrimaryGuard.create({
      leases: this.#rights, group: GROUP, databaseId: id, clock: { readTime: () => this.#readTime() }, checkClocks: () => { this.#checkClocks() }
    })
    this.#gates.set(id, gate)
    return gate
  }

  #readTime (): number { return this.#options.world.time.now - this.#suspendedMs }

  #checkClocks (): void {
    const { world, switches } = this.#options
    if (switches.ignoreSuspension === true || !this.#detector.check(this.#readTime(), world.time.now)) return
    this.#suspensions++
    this.#rights.invalidateConfirmation(this.#readTime())
    this.#provenAt = -Infinity
    this.#invalidatedAt = this.#readTime()
  }

  /** Reads the claims, or takes them from another host with the age of its proof. */
  async #prove (): Promise<void> {
    const { world, index, switches, findHost } = this.#options
    const store = world.createStore(index)
    for (;;) {
      const sentAt = this.#readTime()
      const list = await store.list('')
      this.#checkClocks()
      if (list.type === 'ok') {
        for (const { group, claim, revision } of parseFleetObjects(list.value.objects).claims) this.#claims.apply(group, claim, revision)
        this.#confirm(switches.countFromAnswer === true ? this.#readTime() : sentAt, sentAt)
      } else {
        const other = (index + 1 + world.time.queue.chooseNumber(0, world.hosts.length - 2)) % world.hosts.length
        const told = await world.send(index, () => this.#isHostReachable(other) && !world.has(`suspend ${other}`), () => findHost(other).describe(), PROBE_MS)
        if (told?.known !== undefined) this.#claims.apply(GROUP, told.known.claim, told.known.revision)
        if (told !== undefined) this.#confirm(switches.countFromAnswer === true ? this.#readTime() : sentAt - told.ageMs, sentAt)
      }
      await pause(PROOF_MS)
    }
  }

  #confirm (provenAt: number, askedAt: number): void {
    if (askedAt > this.#invalidatedAt) this.#provenAt = Math.max(this.#provenAt, provenAt)
    this.#rights.confirm(provenAt, askedAt)
  }

  describe (): { known: ReturnType<ExpiringLeases['findClaim']>, ageMs: number } {
    this.#checkClocks()
    return { known: this.#rights.findClaim(GROUP), ageMs: this.#readTime() - this.#provenAt }
  }

  async handleNotice ({ group, claim, revision, quiesceMs }: Notice): Promise<object> {
    await this.#claims.release(group, promotionClaim.parse(claim), revision, quiesceMs)
    return {}
  }

  #isHostReachable (other: number): boolean {
    const { world, index } = this.#options
    return !world.has(`hosts ${index}`) && !world.has(`hosts ${other}`) && world.has(`side ${index}`) === world.has(`side ${other}`)
  }

  #createFailover (logger: object): FailoverTask {
    const { world, index, switches } = this.#options
    const clock = { readTime: () => this.#readTime() }
    const rights = { limitMs: switches.skipBarrier === true ? 0 : LIMIT_MS, findClaim: (group: string) => this.#rights.findClaim(group) }
    const store = world.createStore(index)
    const adapter = {
      store: switches.skipConfirmation === true ? this.#skipConfirmations(store) : store,
      promoter: world.createPromoter(index),
      decodeUpstreamStatus: (rows: readonly string[]): UpstreamStatus => JSON.parse(rows[0] ?? '')
    } as unknown as PlatformAdapter
    const links = { all: world.hosts.map((_, other) => this.#createLink(other)).filter((_, other) => other !== index), find: (record: { host: string }) => this.#createLink(Number(record.host.slice(1))) }
    const registry = { find: ({ id }: { id: string }) => this.#createOwner(id) }
    const router = { hosts: world.hosts, listCandidates: () => [...world.hosts] }
    const catalogue = { groups: new Map([[GROUP, { maxConnections: 1, syncReplicas: 0 }]]) }
    return FailoverTask.create({
      self: world.hosts[index] as never,
      adapter,
      leaders: this.#leaders,
      links: links as never,
      registry: registry as never,
      router: router as never,
      listRecords: () => world.listRecords(),
      findCatalogue: () => catalogue as never,
      leases: rights as never,
      claimHandler: this.#claims,
      countSuspensions: () => {
        this.#checkClocks()
        return this.#suspensions
      },
      clock,
      logger: logger as never
    })
  }

  /** Pretends that the confirmation before a call was written. */
  #skipConfirmations (store: ReturnType<RightsWorld['createStore']>): ReturnType<RightsWorld['createStore']> {
    return {
      ...store,
      replace: async (kind, name, value, revision) => (value as { phase?: string }).phase === 'called'
        ? { type: 'ok', value: { name, revision: revision ?? 0, value } }
        : await store.replace(kind, name, value, revision)
    }
  }

  #createLink (other: number): object {
    const { world, index, findHost } = this.#options
    return {
      record: world.hosts[other],
      isUp: true,
      readDownMs: () => this.#isHostReachable(other) && !world.has(`suspend ${other}`) ? 0 : CONTROL_MS,
      watch: () => {},
      prepare: async () => this.#isHostReachable(other),
      request: async ({ method }: { method: string }, params: { databaseId: string } & Notice, timeoutMs: number) => await new Promise((resolve, reject) => {
        const timer = world.time.add(timeoutMs, () => { reject(new Error('no answer')) }, index)
        world.time.add(world.time.queue.chooseNumber(1, 20), () => {
          if (!this.#isHostReachable(other)) return
          const target = findHost(other)
          const handled = method === 'promotion.notice' ? target.handleNotice(params) : target.probe(params.databaseId).then((isReachable) => ({ isReachable }))
          void handled.then((answer) => {
            if (!this.#isHostReachable(other)) return
            world.time.add(world.time.queue.chooseNumber(1, 20), () => {
              timer.isCancelled = true
              resolve(answer)
            }, index)
          })
        }, other)
      })
    }
  }

  async probe (id: string): Promise<boolean> {
    const answer = await this.#send(id, (database) => database.leads ? { type: 'done', proof: '-', rows: [] } : { type: 'failed', failure: 'not-primary', text: '' }, PROBE_MS)
    this.#recordHealth(id, answer)
    const record = this.#options.world.listRecords().find((known) => known.id === id)
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
        if (command.type === 'step-down') this.#options.world.stepDown(database, command.term)
        const status: UpstreamStatus = { isPrimary: database.leads, term: database.term, position: { term: database.term, position: database.log.length } }
        return { type: 'done', proof: '-', rows: [JSON.stringify(status)] }
      }, CONTROL_MS),
      pauseWrites: () => {},
      resumeWrites: () => {}
    }
  }

  #report (promise: string, detail: string): void {
    const { world, index } = this.#options
    world.violations.push({ promise, detail: `${detail} through h${index} at ${Math.round(world.time.now)}` })
  }
}
