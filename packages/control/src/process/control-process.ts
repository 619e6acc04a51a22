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

const MEMBERSHIP_INTERVAL_MS = 1000
const DRAIN_CHECK_INTERVAL_MS = 100
const ADDRESS_HINTS_INTERVAL_MS = 30_000
/** Sent instead of infinity, which the schemas of the messages reject. */
const NEVER_CONFIRMED_AGE_MS = 1e12

/** The control process of one host: owns the peer server, the tasks and their timers. */
export class ControlProcess {
  readonly #settings: ControlSettings
  readonly #clock: Clock
  readonly #store: PlatformStore
  readonly #logger: Logger
  readonly #view: MembershipView
  readonly #shareTable: ShareTable
  readonly #keyFreshness = KeyFreshness.create()
  readonly #links: PeerLinks
  readonly #configurationTask: ConfigurationTask
  readonly #heartbeatTask: HeartbeatTask
  readonly #budgetTask: BudgetTask
  readonly #shareTableTask: ShareTableTask
  readonly #keyExpiryTask: KeyExpiryTask
  readonly #processRegistry: ProcessRegistry
  readonly #drain: Drain
  readonly #timers: NodeJS.Timeout[] = []
  #server: PeerServer | undefined
  #administration: AdministrationServer | undefined
  #sentMembersJson = ''

  private constructor (self: FleetMember, { settings, clock, store, logger }: StartOptions) {
    this.#settings = settings
    this.#clock = clock
    this.#store = store
    this.#logger = logger
    this.#view = MembershipView.create({ self })
    this.#shareTable = ShareTable.create({ self: createShareRow(self) })
    this.#drain = Drain.create(settings.drain)
    this.#links = PeerLinks.create({ hello: createHello(self), tls: loadTls(settings.tls), prepareConnection: (connection) => { this.#prepareConnection(connection) } })
    this.#configurationTask = ConfigurationTask.create({
      clock,
      store,
      logger,
      links: this.#links,
      view: this.#view,
      handleChange: (replica) => { this.#applyConfiguration(replica) },
      findMajorityConfirmation: () => this.#shareTable.findMajorityConfirmation(clock.readTime())
    })
    this.#budgetTask = BudgetTask.create({ clock, links: this.#links, view: this.#view, shareTable: this.#shareTable })
    this.#shareTableTask = ShareTableTask.create({ clock, store, logger, view: this.#view, shareTable: this.#shareTable })
    this.#keyExpiryTask = KeyExpiryTask.create({ clock, store, logger, view: this.#view, replica: this.#configurationTask.replica })
    this.#heartbeatTask = HeartbeatTask.create({
      clock,
      links: this.#links,
      view: this.#view,
      shareTable: this.#shareTable,
      seeds: settings.peers,
      budgets: this.#budgetTask,
      describeConfiguration: () => ({ digest: this.#configurationTask.replica.digest, storeAgeMs: this.#configurationTask.readStoreAgeMs(clock.readTime()) }),
      handleResponse: (response, sentAt) => { this.#configurationTask.handleHeartbeatResponse(response, sentAt) },
      handleRound: () => { this.#handleHeartbeatRound() },
      handleChange: () => { this.#updateMembers() }
    })
    this.#processRegistry = ProcessRegistry.create({
      host: self.host,
      replica: this.#configurationTask.replica,
      describeMembership: (host) => this.#describeMembership(host),
      handleChange: () => { this.#updateLocalAddresses() }
    })
  }

  static async start (options: StartOptions): Promise<ControlProcess> {
    const { settings, logger } = options
    const member = createMember(settings)
    const tls = loadTls(settings.tls)
    const connectionHandler = { handle: (connection: PeerConnection): void => connection.destroy() }
    const server = await PeerServer.open({
      address: settings.address, port: settings.port, hello: createHello(member), ...(tls === undefined ? {} : { tls }), handleConnection: (connection) => { connectionHandler.handle(connection) }
    })
    const self = { ...member, addresses: { control: { host: settings.address, port: server.port } } }
    const control = new ControlProcess(self, options)
    connectionHandler.handle = (connection) => { control.#prepareConnection(connection) }
    await control.#open(server)
    logger.info('control is ready', { address: settings.address, port: server.port, administrationPort: control.administrationPort, incarnation: self.incarnation })
    return control
  }

  get port (): number { return this.#server?.port ?? 0 }
  get administrationPort (): number { return this.#administration?.port ?? 0 }
  get incarnation (): string { return this.#view.self.incarnation }

  /** Shuts down gracefully: announces that the host is leaving, hands its budgets over, waits for entry and pool to drain, and closes. */
  async close (): Promise<void> {
    this.#logger.info('leaving', { phase: this.#drain.phase })
    this.#applyDrainEffects(this.#handleDrainEvent({ type: 'start' }))
    while (this.#drain.phase !== 'closing') {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS))
      this.#applyDrainEffects(this.#handleDrainEvent({ type: 'work', remaining: this.#processRegistry.countRemainingRequests() }))
    }
    await this.#budgetTask.waitForHandOvers()
    await this.destroy()
  }

  /** Closes everything without an announcement, as in a crash. */
  async destroy (): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer)
    this.#heartbeatTask.close()
    this.#budgetTask.close()
    this.#configurationTask.close()
    this.#links.close()
    await this.#administration?.close()
    this.#server?.destroy()
  }

  async #open (server: PeerServer): Promise<void> {
    this.#server = server
    this.#loadSnapshot()
    this.#administration = await AdministrationServer.open({
      settings: this.#settings,
      clock: this.#clock,
      store: this.#store,
      logger: this.#logger,
      replica: this.#configurationTask.replica,
      view: this.#view,
      shareTable: this.#shareTable,
      links: this.#links,
      describeStatus: () => this.#describeStatus()
    })
    this.#view.updateSelf({ addresses: { ...this.#view.self.addresses, administration: { host: this.#settings.administration.address ?? this.#settings.address, port: this.#administration.port } } })
    this.#heartbeatTask.start()
    this.#configurationTask.start()
    this.#budgetTask.start()
    this.#timers.push(setInterval(() => { this.#processRegistry.sendMembership() }, MEMBERSHIP_INTERVAL_MS))
    this.#timers.push(setInterval(() => { void this.#updateAddressHints() }, ADDRESS_HINTS_INTERVAL_MS))
    if (this.#settings.peers.length === 0) await this.#updateAddressHints()
  }

  #prepareConnection (connection: PeerConnection): void {
    this.#configurationTask.prepareConnection(connection)
    this.#heartbeatTask.prepareConnection(connection)
    this.#budgetTask.prepareConnection(connection)
    this.#processRegistry.prepareConnection(connection)
    connection.addMethod(statusFetch, async () => this.#describeStatus())
  }

  #loadSnapshot (): void {
    if (this.#settings.snapshotFile === undefined) return
    const snapshot = readSnapshotFile(this.#settings.snapshotFile)
    if (snapshot.isErr()) this.#logger.error('the control-state snapshot is invalid and was ignored', { error: snapshot.error.message, hint: snapshot.error.hint })
    else this.#configurationTask.applyUpdate(snapshot.value)
  }

  /**
   * Reads the list of hosts from the platform when this host is the only known member, which has no peers to request addresses from,
   * or the relay of its data centre.
   */
  async #updateAddressHints (): Promise<void> {
    const now = this.#clock.readTime()
    const isOnlyMember = this.#view.listMembers(now).length === 1
    if (!isOnlyMember && !this.#configurationTask.isRelay(now)) return
    try {
      this.#heartbeatTask.updateAddressHints((await this.#store.listHosts()).map(({ address, port }) => ({ host: address, port })))
    } catch {
      // The list is only a hint; addresses from the settings and from other hosts stay in use.
    }
  }

  #handleHeartbeatRound (): void {
    const now = this.#clock.readTime()
    const { storeConfirmedAt } = this.#configurationTask
    if (storeConfirmedAt !== undefined) {
      this.#shareTable.recordStoreConfirmation(storeConfirmedAt)
      this.#keyFreshness.recordConfirmation(storeConfirmedAt)
    }
    this.#keyFreshness.recordConfirmation(this.#configurationTask.findMajorityConfirmation(this.#shareTable.value?.hosts ?? [], now))
    this.#updateState()
    this.#updateMembers()
    if (!this.#configurationTask.isStoreFresh(now)) return
    void this.#shareTableTask.run()
    void this.#keyExpiryTask.run()
  }

  #updateMembers (): void {
    this.#budgetTask.updateMembers()
    const membersJson = JSON.stringify(this.#view.listServing(this.#clock.readTime()).map(({ configurationVersion, ...member }) => member))
    if (membersJson === this.#sentMembersJson) return
    this.#sentMembersJson = membersJson
    this.#processRegistry.sendMembership()
  }

  #applyConfiguration (replica: ConfigurationReplica): void {
    this.#view.updateSelf({ configurationVersion: replica.version })
    const table = replica.find('fleet', 'share-table')
    const value = shareTableSchema.safeParse(table?.value)
    if (table !== undefined && value.success) this.#shareTable.apply(table.version, value.data, this.#clock.readTime())
    this.#budgetTask.updateConfiguration(replica)
    this.#processRegistry.sendConfiguration()
    this.#updateState()
  }

  #updateLocalAddresses (): void {
    const { control, administration } = this.#view.self.addresses
    const addresses: FleetMember['addresses'] = { control, ...(administration === undefined ? {} : { administration }) }
    for (const { role, address } of this.#processRegistry.listLocalProcesses()) addresses[role] = address
    this.#view.updateSelf({ addresses })
    this.#heartbeatTask.sendImmediately()
  }

  /** Sets the state of this host: serving once the configuration is confirmed, leaving permanently once the shutdown has started. */
  #updateState (): void {
    const isConfigurationFresh = this.#keyFreshness.isFresh(this.#clock.readTime())
    const isDrainRequested = this.#isDrainRequested(this.#view.self.host)
    const state = this.#drain.phase !== 'serving' || isDrainRequested ? 'leaving' : isConfigurationFresh || this.#view.self.state === 'serving' ? 'serving' : 'starting'
    if (state !== this.#view.self.state) this.#view.updateSelf({ state })
  }

  /** Whether operators requested that the host takes no more work. */
  #isDrainRequested (host: string): boolean {
    return this.#configurationTask.replica.find('fleet', `host.${host}`)?.value.draining === true
  }

  #describeMembership (host: string): MembershipUpdateParams {
    const now = this.#clock.readTime()
    const isOwnHost = host === this.#view.self.host
    return {
      members: this.#view.listMembers(now).filter(({ incarnation }) => !this.#view.isSuspected(incarnation, now)),
      confirmedAgeMs: this.#readConfirmedAgeMs(),
      leaving: this.#isDrainRequested(host) || (isOwnHost && this.#view.self.state === 'leaving')
    }
  }

  #describeStatus (): HostStatus {
    const now = this.#clock.readTime()
    const { host, incarnation, dataCentre, region, state, configurationVersion } = this.#view.self
    const processes = this.#processRegistry.listLocalProcesses().map(({ role, report }) => ({
      role, configurationVersion: report?.configurationVersion ?? null, remaining: report?.remaining ?? null, figures: report?.figures ?? {}, organisations: report?.organisations ?? {}
    }))
    return {
      host,
      incarnation,
      dataCentre,
      region,
      state,
      configurationVersion: Math.min(configurationVersion, ...processes.flatMap((process) => process.configurationVersion ?? [])),
      confirmedAgeMs: Math.round(this.#readConfirmedAgeMs()),
      storeAgeMs: this.#configurationTask.readStoreAgeMs(now),
      shareFraction: this.#shareTable.readShare(now).fraction,
      partitions: this.#budgetTask.partitions.length,
      processes
    }
  }

  #readConfirmedAgeMs (): number {
    return Math.min(NEVER_CONFIRMED_AGE_MS, this.#keyFreshness.readAge(this.#clock.readTime()))
  }

  #handleDrainEvent (event: DrainEvent): DrainEffect[] {
    return this.#drain.handle(event, this.#clock.readTime())
  }

  #applyDrainEffects (effects: DrainEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'announce') {
        this.#updateState()
        this.#heartbeatTask.sendImmediately()
      } else if (effect.type === 'stop-accepting') this.#processRegistry.sendMembership()
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
