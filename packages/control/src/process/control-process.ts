import { randomBytes } from 'node:crypto'
import { KeyFreshness } from '@tanagerusher/coordination/keys/key-freshness'
import { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import { shareTableSchema } from '@tanagerusher/coordination/budget/share-table-schema'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformStore } from '@tanagerusher/coordination/common/platform-store'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { Drain, type DrainEffect, type DrainEvent } from '@tanagerusher/coordination/membership/drain'
import { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { MembershipUpdateParams } from '@tanagerusher/protocol/peer/membership-update'
import { PeerServer } from '@tanagerusher/transport/peer/peer-server'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { Logger } from 'winston'
import { AdministrationServer } from '../administration/administration-server.js'
import { BudgetTask } from '../budget/budget-task.js'
import { ShareTableTask } from '../budget/share-table-task.js'
import { ConfigurationTask } from '../configuration/configuration-task.js'
import { KeyExpiryTask } from '../configuration/key-expiry-task.js'
import { readSnapshotFile } from '../configuration/read-snapshot-file.js'
import { createShareRow } from '../membership/create-share-row.js'
import { HeartbeatTask } from '../membership/heartbeat-task.js'
import { PeerLinks } from '../peer/peer-links.js'
import type { ControlSettings } from '../settings/control-settings.js'
import { loadTls } from '../settings/load-tls.js'
import type { HostStatus } from '../status/host-status.js'
import { statusFetch } from '../status/status-fetch.js'
import { ProcessRegistry } from '../subscription/process-registry.js'

interface StartOptions {
  settings: ControlSettings
  clock: Clock
  store: PlatformStore
  logger: Logger
}

const MEMBERSHIP_EVERY_MS = 1000
const DRAIN_CHECK_MS = 100
const HINTS_EVERY_MS = 30_000
/** Told instead of infinity, which the messages' schemas refuse. */
const NEVER_CONFIRMED_MS = 1e12

/** The control process of one host: owns the peer server, the tasks and their timers. */
export class ControlProcess {
  readonly #settings: ControlSettings
  readonly #clock: Clock
  readonly #store: PlatformStore
  readonly #logger: Logger
  readonly #view: MembershipView
  readonly #shareTable: ShareTable
  readonly #freshness = KeyFreshness.create()
  readonly #links: PeerLinks
  readonly #configuration: ConfigurationTask
  readonly #heartbeats: HeartbeatTask
  readonly #budgets: BudgetTask
  readonly #shares: ShareTableTask
  readonly #expiry: KeyExpiryTask
  readonly #registry: ProcessRegistry
  readonly #drain: Drain
  readonly #timers: NodeJS.Timeout[] = []
  #server: PeerServer | undefined
  #administration: AdministrationServer | undefined
  #sentMembers = ''

  private constructor (self: FleetMember, { settings, clock, store, logger }: StartOptions) {
    this.#settings = settings
    this.#clock = clock
    this.#store = store
    this.#logger = logger
    this.#view = MembershipView.create({ self })
    this.#shareTable = ShareTable.create({ self: createShareRow(self) })
    this.#drain = Drain.create(settings.drain)
    this.#links = PeerLinks.create({ hello: createHello(self), tls: loadTls(settings.tls), prepareConnection: (connection) => { this.#prepareConnection(connection) } })
    this.#configuration = ConfigurationTask.create({
      clock,
      store,
      logger,
      links: this.#links,
      view: this.#view,
      handleChange: (replica) => { this.#handleConfiguration(replica) },
      findMajorityConfirmation: () => this.#shareTable.findMajorityConfirmation(clock.readTime())
    })
    this.#budgets = BudgetTask.create({ clock, links: this.#links, view: this.#view, shareTable: this.#shareTable })
    this.#shares = ShareTableTask.create({ clock, store, logger, view: this.#view, shareTable: this.#shareTable })
    this.#expiry = KeyExpiryTask.create({ clock, store, logger, view: this.#view, replica: this.#configuration.replica })
    this.#heartbeats = HeartbeatTask.create({
      clock,
      links: this.#links,
      view: this.#view,
      shareTable: this.#shareTable,
      seeds: settings.peers,
      budgets: this.#budgets,
      describeSelf: () => ({ digest: this.#configuration.replica.digest, storeAgeMs: this.#configuration.readStoreAge(clock.readTime()) }),
      handleAnswer: (answer, sentAt) => { this.#configuration.handleHeartbeatAnswer(answer, sentAt) },
      handleRound: () => { this.#handleRound() },
      handleChange: () => { this.#handleMembers() }
    })
    this.#registry = ProcessRegistry.create({
      host: self.host,
      replica: this.#configuration.replica,
      describeMembership: (host) => this.#describeMembership(host),
      handleChange: () => { this.#handleLocalProcesses() }
    })
  }

  static async start (options: StartOptions): Promise<ControlProcess> {
    const { settings, logger } = options
    const member = createMember(settings)
    const tls = loadTls(settings.tls)
    const accepted = { handle: (connection: PeerConnection): void => connection.destroy() }
    const server = await PeerServer.open({
      address: settings.address, port: settings.port, hello: createHello(member), ...(tls === undefined ? {} : { tls }), handleConnection: (connection) => { accepted.handle(connection) }
    })
    const self = { ...member, addresses: { control: { host: settings.address, port: server.port } } }
    const control = new ControlProcess(self, options)
    accepted.handle = (connection) => { control.#prepareConnection(connection) }
    await control.#open(server)
    logger.info('control is ready', { address: settings.address, port: server.port, administrationPort: control.administrationPort, incarnation: self.incarnation })
    return control
  }

  get port (): number { return this.#server?.port ?? 0 }
  get administrationPort (): number { return this.#administration?.port ?? 0 }
  get incarnation (): string { return this.#view.self.incarnation }

  /** Graceful shutdown: announce leaving, hand budgets over, let entry and pool drain, close. */
  async close (): Promise<void> {
    this.#logger.info('leaving', { phase: this.#drain.phase })
    this.#carryOut(this.#step({ type: 'start' }))
    while (this.#drain.phase !== 'closing') {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_MS))
      this.#carryOut(this.#step({ type: 'work', remaining: this.#registry.countRemaining() }))
    }
    await this.#budgets.finishHandOver()
    await this.destroy()
  }

  /** Closes everything without telling anybody, as in a crash. */
  async destroy (): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer)
    this.#heartbeats.close()
    this.#budgets.close()
    this.#configuration.close()
    this.#links.close()
    await this.#administration?.close()
    this.#server?.destroy()
  }

  async #open (server: PeerServer): Promise<void> {
    this.#server = server
    this.#readSnapshot()
    this.#administration = await AdministrationServer.open({
      settings: this.#settings,
      clock: this.#clock,
      store: this.#store,
      logger: this.#logger,
      replica: this.#configuration.replica,
      view: this.#view,
      shareTable: this.#shareTable,
      links: this.#links,
      describeStatus: () => this.#describeStatus()
    })
    this.#view.updateSelf({ addresses: { ...this.#view.self.addresses, administration: { host: this.#settings.administration.address ?? this.#settings.address, port: this.#administration.port } } })
    this.#heartbeats.start()
    this.#configuration.start()
    this.#budgets.start()
    this.#timers.push(setInterval(() => { this.#registry.sendMembership() }, MEMBERSHIP_EVERY_MS))
    this.#timers.push(setInterval(() => { void this.#readHints() }, HINTS_EVERY_MS))
    if (this.#settings.peers.length === 0) await this.#readHints()
  }

  #prepareConnection (connection: PeerConnection): void {
    this.#configuration.prepareConnection(connection)
    this.#heartbeats.prepareConnection(connection)
    this.#budgets.prepareConnection(connection)
    this.#registry.prepareConnection(connection)
    connection.addMethod(statusFetch, async () => this.#describeStatus())
  }

  #readSnapshot (): void {
    if (this.#settings.snapshotFile === undefined) return
    const snapshot = readSnapshotFile(this.#settings.snapshotFile)
    if (snapshot.isErr()) this.#logger.error('the control-state snapshot is refused', { error: snapshot.error.message, hint: snapshot.error.hint })
    else this.#configuration.applyUpdate(snapshot.value)
  }

  /** A host alone has no peer to ask for others; in a fleet only one host of a data centre asks the platform. */
  async #readHints (): Promise<void> {
    const now = this.#clock.readTime()
    const isAlone = this.#view.listMembers(now).length === 1
    if (!isAlone && !this.#configuration.isRelay(now)) return
    try {
      this.#heartbeats.updateHints((await this.#store.listHosts()).map(({ address, port }) => ({ host: address, port })))
    } catch {
      // The list is a hint; peers from the settings and from other hosts remain.
    }
  }

  #handleRound (): void {
    const now = this.#clock.readTime()
    const { storeConfirmedAt } = this.#configuration
    if (storeConfirmedAt !== undefined) {
      this.#shareTable.recordStoreConfirmation(storeConfirmedAt)
      this.#freshness.recordConfirmation(storeConfirmedAt)
    }
    this.#freshness.recordConfirmation(this.#configuration.findMajorityConfirmation(this.#shareTable.value?.hosts ?? [], now))
    this.#updateState()
    this.#handleMembers()
    if (!this.#configuration.isStoreFresh(now)) return
    void this.#shares.run()
    void this.#expiry.run()
  }

  #handleMembers (): void {
    this.#budgets.updateMembers()
    const members = JSON.stringify(this.#view.listServing(this.#clock.readTime()).map(({ configurationVersion, ...member }) => member))
    if (members === this.#sentMembers) return
    this.#sentMembers = members
    this.#registry.sendMembership()
  }

  #handleConfiguration (replica: ConfigurationReplica): void {
    this.#view.updateSelf({ configurationVersion: replica.version })
    const table = replica.find('fleet', 'share-table')
    const value = shareTableSchema.safeParse(table?.value)
    if (table !== undefined && value.success) this.#shareTable.apply(table.version, value.data, this.#clock.readTime())
    this.#budgets.updateConfiguration(replica)
    this.#registry.sendConfiguration()
    this.#updateState()
  }

  #handleLocalProcesses (): void {
    const { control, administration } = this.#view.self.addresses
    const addresses: FleetMember['addresses'] = { control, ...(administration === undefined ? {} : { administration }) }
    for (const { role, address } of this.#registry.listLocal()) addresses[role] = address
    this.#view.updateSelf({ addresses })
    this.#heartbeats.announce()
  }

  /** Serving once the configuration is known to be current; leaving for good once the stop began. */
  #updateState (): void {
    const isReady = this.#freshness.isFresh(this.#clock.readTime())
    const drains = this.#isDrained(this.#view.self.host)
    const state = this.#drain.phase !== 'serving' || drains ? 'leaving' : isReady || this.#view.self.state === 'serving' ? 'serving' : 'starting'
    if (state !== this.#view.self.state) this.#view.updateSelf({ state })
  }

  /** Whether operators asked the host to take no more work. */
  #isDrained (host: string): boolean {
    return this.#configuration.replica.find('fleet', `host.${host}`)?.value.draining === true
  }

  #describeMembership (host: string): MembershipUpdateParams {
    const now = this.#clock.readTime()
    const isOwn = host === this.#view.self.host
    return {
      members: this.#view.listMembers(now).filter(({ incarnation }) => !this.#view.isSuspected(incarnation, now)),
      confirmedAgeMs: this.#readConfirmedAge(),
      leaving: this.#isDrained(host) || (isOwn && this.#view.self.state === 'leaving')
    }
  }

  #describeStatus (): HostStatus {
    const now = this.#clock.readTime()
    const { host, incarnation, dataCentre, region, state, configurationVersion } = this.#view.self
    const processes = this.#registry.listLocal().map(({ role, report }) => ({
      role, configurationVersion: report?.configurationVersion ?? null, remaining: report?.remaining ?? null, figures: report?.figures ?? {}, organisations: report?.organisations ?? {}
    }))
    return {
      host,
      incarnation,
      dataCentre,
      region,
      state,
      configurationVersion: Math.min(configurationVersion, ...processes.flatMap((process) => process.configurationVersion ?? [])),
      confirmedAgeMs: Math.round(this.#readConfirmedAge()),
      storeAgeMs: this.#configuration.readStoreAge(now),
      shareFraction: this.#shareTable.readShare(now).fraction,
      partitions: this.#budgets.partitions.length,
      processes
    }
  }

  #readConfirmedAge (): number {
    return Math.min(NEVER_CONFIRMED_MS, this.#freshness.readAge(this.#clock.readTime()))
  }

  #step (event: DrainEvent): DrainEffect[] {
    return this.#drain.handle(event, this.#clock.readTime())
  }

  #carryOut (effects: DrainEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'announce') {
        this.#updateState()
        this.#heartbeats.announce()
      } else if (effect.type === 'stop-accepting') this.#registry.sendMembership()
      else this.#logger.info('drained', { complete: effect.isComplete })
    }
  }
}

function createMember ({ host, dataCentre, region, address, port }: ControlSettings): FleetMember {
  const incarnation = `${host}-${randomBytes(6).toString('hex')}`
  return { host, incarnation, dataCentre, region, state: 'starting', configurationVersion: 0, addresses: { control: { host: address, port } } }
}

function createHello ({ host, incarnation, dataCentre, region }: FleetMember): PeerHello {
  return { host, incarnation, dataCentre, region, role: 'control', protocolVersions: [2] }
}
