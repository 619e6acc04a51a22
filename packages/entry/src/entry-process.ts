import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { RetryPolicy } from '@tanagerusher/coordination/outcome/retry-policy'
import { ReplicaSelector } from '@tanagerusher/coordination/session/replica-selector'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { cancelSession } from '@tanagerusher/protocol/peer/cancel-session'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { MonotonicClock } from '@tanagerusher/runtime/clock/monotonic-clock'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { MetricsServer } from '@tanagerusher/runtime/metrics/metrics-server'
import { Tracing } from '@tanagerusher/runtime/trace/tracing'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { Position } from '@tanagerusher/state/position/position'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import { PeerServer } from '@tanagerusher/transport/peer/peer-server'
import type { Logger } from 'winston'
import { CancelForwarder } from './link/cancel-forwarder.js'
import { ConfigurationView } from './link/configuration-view.js'
import { ControlLink } from './link/control-link.js'
import { CallerListener } from './listener/caller-listener.js'
import { EntryMetrics } from './metrics/entry-metrics.js'
import { RateLimiter } from './rate/rate-limiter.js'
import { FloorProbeRunner } from './routing/floor-probe-runner.js'
import { GroupTable } from './routing/group-table.js'
import { PoolDirectory } from './routing/pool-directory.js'
import { RequestRouter } from './routing/request-router.js'
import { SessionRegistry } from './session/session-registry.js'
import type { SessionServices } from './session/session-services.js'
import { SessionTokens } from './session/session-tokens.js'
import type { EntrySettings } from './settings/entry-settings.js'

interface OpenOptions {
  settings: EntrySettings
  clock?: Clock
  logger?: Logger
}

type PeerTls = { ca: Buffer, cert: Buffer, key: Buffer }

const REPORT_INTERVAL_MS = 1000
const DRAIN_CHECK_INTERVAL_MS = 20
const PROBE_TIMEOUT_MS = 2000
const RETRY_SETTINGS = { baseDelayMs: 50, maximumDelayMs: 500, budgetRatio: 0.1, maximumBudget: 100 }

/** The entry process. Owns the caller listener, the sessions, and the links to control and to the pools. */
export class EntryProcess {
  readonly #settings: EntrySettings
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #hello: PeerHello
  readonly #tls: PeerTls | undefined
  readonly #configuration = ConfigurationView.create()
  readonly #groups = GroupTable.create()
  readonly #registry: SessionRegistry
  readonly #metrics = EntryMetrics.create()
  readonly #tracing: Tracing
  readonly #pools: PoolDirectory
  readonly #probes: FloorProbeRunner
  #control!: ControlLink
  #rateLimiter!: RateLimiter
  #peerServer!: PeerServer
  #listener!: CallerListener
  #metricsServer!: MetricsServer
  #reportedAt = 0
  #sweepTimer: NodeJS.Timeout | undefined
  #isDraining = false
  #isClosing = false

  private constructor ({ settings, clock = MonotonicClock.create(), logger }: OpenOptions) {
    const { host, dataCentre, region } = settings
    this.#settings = settings
    this.#clock = clock
    this.#logger = logger ?? createLogger({ label: 'entry', level: settings.logLevel, fields: { host, dataCentre } })
    this.#hello = { host, incarnation: randomBytes(8).toString('hex'), dataCentre, region, role: 'entry', protocolVersions: [2] }
    this.#tls = loadPeerTls(settings)
    this.#registry = SessionRegistry.create({ host })
    this.#tracing = Tracing.create({ settings: settings.trace, program: 'tanagerusher-entry', host, dataCentre })
    this.#pools = PoolDirectory.create({
      ...this.#getPeerOptions(),
      clock,
      logger: this.#logger,
      handleStatus: (status) => { this.#groups.apply(status, this.#configuration.groups.get(status.group), this.#clock.readTime()) }
    })
    this.#probes = FloorProbeRunner.create({ clock, sendProbe: async (group) => await this.#sendProbe(group) })
  }

  static async open (options: OpenOptions): Promise<EntryProcess> {
    const entry = new EntryProcess(options)
    await entry.#start()
    return entry
  }

  get callerPort (): number { return this.#listener.port }
  get peerPort (): number { return this.#peerServer.port }
  get metricsPort (): number { return this.#metricsServer.port }

  get isReady (): boolean {
    return !this.#isDraining && this.#configuration.version > 0 && this.#control.isFresh()
  }

  /** Shuts down gracefully: rejects new callers, lets running requests and transactions finish, and returns unspent tokens. */
  async close (): Promise<void> {
    this.#isClosing = true
    this.#drain()
    const deadline = this.#clock.readTime() + this.#settings.drainTimeoutMs
    while (this.#registry.size > 0 && this.#clock.readTime() < deadline) await delay(DRAIN_CHECK_INTERVAL_MS)
    for (const session of [...this.#registry.list()]) session.terminate(TanagerusherError.create('shutting-down'))
    clearInterval(this.#sweepTimer)
    this.#listener.close()
    await this.#rateLimiter.close()
    this.#probes.close()
    this.#control.close()
    this.#pools.close()
    this.#peerServer.destroy()
    await this.#metricsServer.close()
    await this.#tracing.close()
  }

  async #start (): Promise<void> {
    const { address, control, peerPort, metricsPort, grantWaitMs } = this.#settings
    this.#peerServer = await PeerServer.open({
      address, port: peerPort, ...this.#getPeerOptions(), handleConnection: (connection) => { this.#acceptPeer(connection) }
    })
    this.#control = ControlLink.create({
      controls: control,
      address: { host: address, port: this.#peerServer.port },
      ...this.#getPeerOptions(),
      clock: this.#clock,
      logger: this.#logger,
      configuration: this.#configuration,
      maximumAgeMs: this.#settings.configurationMaximumAgeMs,
      handleConfiguration: () => { this.#handleConfiguration() },
      handleMembers: (members, isLeaving) => { this.#handleMembers(members, isLeaving) }
    })
    this.#rateLimiter = RateLimiter.create({ source: this.#control, clock: this.#clock, grantWaitMs })
    const forwarder = CancelForwarder.create({ registry: this.#registry, ...this.#getPeerOptions(), listMembers: () => this.#control.members })
    this.#control.start()
    this.#metricsServer = await MetricsServer.open({ address, port: metricsPort, registry: this.#metrics.registry, isReady: () => this.isReady })
    this.#listener = await CallerListener.open({
      services: this.#createServices(),
      handleCancel: async (processId, secret) => { await forwarder.cancel(processId, secret) }
    })
    this.#sweepTimer = setInterval(() => { this.#checkLimits() }, this.#settings.sweepMs)
    this.#logger.info('entry is listening', { address, callerPort: this.callerPort, peerPort: this.peerPort, metricsPort: this.metricsPort })
  }

  #createServices (): SessionServices {
    const { settings, incarnation } = { settings: this.#settings, incarnation: this.#hello.incarnation }
    const router = RequestRouter.create({
      incarnation,
      clock: this.#clock,
      configuration: this.#configuration,
      groups: this.#groups,
      pools: this.#pools,
      probes: this.#probes,
      selector: ReplicaSelector.create(settings),
      retryPolicy: RetryPolicy.create({ ...RETRY_SETTINGS, seed: randomBytes(4).readInt32BE(0) }),
      tracing: this.#tracing,
      metrics: this.#metrics,
      windowBytes: settings.windowBytes,
      answerGraceMs: settings.answerGraceMs
    })
    return {
      settings,
      incarnation,
      clock: this.#clock,
      logger: this.#logger,
      configuration: this.#configuration,
      rateLimiter: this.#rateLimiter,
      router,
      pools: this.#pools,
      tokens: SessionTokens.create({ keys: settings.sessionKeys }),
      registry: this.#registry,
      metrics: this.#metrics,
      tracing: this.#tracing,
      findStalenessError: () => this.#control.isFresh() ? undefined : TanagerusherError.create('configuration-stale', { details: { ageMs: Math.round(this.#control.computeConfirmedAge()) } })
    }
  }

  #getPeerOptions (): { hello: PeerHello, tls?: PeerTls } {
    return this.#tls === undefined ? { hello: this.#hello } : { hello: this.#hello, tls: this.#tls }
  }

  #acceptPeer (connection: PeerConnection): void {
    connection.addMethod(cancelSession, async ({ processId, secret }) => ({ cancelled: this.#registry.cancel(processId, secret) }))
  }

  /** Applies the configuration to all sessions immediately: the sessions of a withdrawn key end even while a request runs. */
  #handleConfiguration (): void {
    this.#pools.updateGroups(this.#configuration.groups)
    this.#groups.applyConfiguration(this.#configuration.groups)
    for (const session of [...this.#registry.list()]) session.applyConfiguration()
  }

  #handleMembers (members: FleetMember[], isLeaving: boolean): void {
    this.#pools.updateMembers(members)
    if (isLeaving) this.#drain()
    else if (this.#isDraining && !this.#isClosing) this.#resume()
  }

  #drain (): void {
    if (this.#isDraining) return
    this.#isDraining = true
    this.#logger.info('entry is draining', { sessions: this.#registry.size })
    this.#listener.stop()
    for (const session of [...this.#registry.list()]) session.shutDown()
  }

  /** Accepts callers again after an operator cancelled the drain. */
  #resume (): void {
    this.#isDraining = false
    this.#logger.info('drain cancelled; entry accepts callers again')
    this.#listener.resume()
  }

  async #sendProbe (group: string): Promise<Position> {
    const primary = this.#groups.findPrimary(group)
    const database = this.#configuration.groups.get(group)?.databases.find(({ name }) => name === primary)
    if (database === undefined) throw TanagerusherError.create('unavailable', { details: { group, reason: 'no primary is known' } })
    const excludedHosts = new Set<string>()
    const link = this.#pools.findLink(database, excludedHosts) ?? await this.#pools.openLink(database, group, excludedHosts)
    return await link.probeFloor(group, PROBE_TIMEOUT_MS)
  }

  #checkLimits (): void {
    const now = this.#clock.readTime()
    this.#listener.checkLimits(now)
    for (const session of this.#registry.list()) session.checkLimits(now)
    if (now - this.#reportedAt >= REPORT_INTERVAL_MS) this.#sendReport(now)
  }

  /** Sends a status report to control: open sessions, request counts and the request rate of each organisation. */
  #sendReport (now: number): void {
    const organisations = this.#metrics.takeRates(now - this.#reportedAt)
    this.#reportedAt = now
    this.#control.sendReport({
      role: 'entry',
      configurationVersion: this.#configuration.version,
      remaining: this.#registry.size,
      figures: { sessions: this.#registry.size, ...this.#metrics.listCounts() },
      organisations
    })
  }
}

function loadPeerTls ({ tls }: EntrySettings): PeerTls | undefined {
  if (tls === undefined) return undefined
  return { ca: readFileSync(tls.authorityFile), cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile) }
}

async function delay (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
