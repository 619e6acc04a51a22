import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { setTimeout as wait } from 'node:timers/promises'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { MonotonicClock } from '@tanagerusher/runtime/clock/monotonic-clock'
import { MetricsServer } from '@tanagerusher/runtime/metrics/metrics-server'
import { Tracing } from '@tanagerusher/runtime/trace/tracing'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { PeerServer } from '@tanagerusher/transport/peer/peer-server'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { Logger } from 'winston'
import { PoolConfiguration } from '../configuration/pool-configuration.js'
import { ControlLink } from '../control/control-link.js'
import type { GroupTask } from '../group/group-task.js'
import { EntryConnection } from '../peer/entry-connection.js'
import type { PoolSettings } from '../settings/pool-settings.js'
import { PoolMetrics } from './pool-metrics.js'
import { StatusSender } from './status-sender.js'
import { TaskRegistry } from './task-registry.js'

interface TlsFiles {
  cert: Buffer
  key: Buffer
  ca: Buffer
}

const MAINTENANCE_INTERVAL_MS = 1000
const REPORT_INTERVAL_MS = 1000
const DRAIN_POLL_INTERVAL_MS = 10

/** Pool process with its peer server, its link to control, and the tasks of groups and databases. */
export class PoolProcess {
  readonly #settings: PoolSettings
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #configuration = PoolConfiguration.create()
  readonly #registry: TaskRegistry
  readonly #sender: StatusSender
  readonly #metrics: PoolMetrics
  readonly #tracing: Tracing
  #metricsServer: MetricsServer | undefined
  readonly #entries = new Set<EntryConnection>()
  readonly #timers: NodeJS.Timeout[] = []
  #server!: PeerServer
  #link!: ControlLink
  #nextEntry = 1
  #isStopping = false

  private constructor (settings: PoolSettings) {
    this.#settings = settings
    this.#clock = MonotonicClock.create()
    this.#logger = createLogger({ label: 'pool', level: settings.logLevel, fields: { host: settings.host, dataCentre: settings.dataCentre } })
    this.#sender = StatusSender.create({ send: (task) => { this.#sendStatus(task) } })
    this.#tracing = Tracing.create({ settings: settings.trace, program: 'tanagerusher-pool', host: settings.host, dataCentre: settings.dataCentre })
    this.#metrics = PoolMetrics.create(() => [...this.#registry.databases].map((task) => ({
      group: task.groupName, database: task.name, load: task.load, connections: task.connectionCount, openTransactions: task.openTransactions
    })))
    this.#registry = TaskRegistry.create({
      settings,
      configuration: this.#configuration,
      clock: this.#clock,
      logger: this.#logger,
      metrics: this.#metrics,
      tracing: this.#tracing,
      seed: Number.parseInt(randomUUID().slice(0, 7), 16),
      isWatched: (group) => [...this.#entries].some((entry) => entry.isWatching(group)),
      handleStatus: (task) => { this.#sender.schedule(task) }
    })
  }

  /** Starts the process. It serves requests after control has sent a configuration. */
  static async start (settings: PoolSettings): Promise<PoolProcess> {
    const pool = new PoolProcess(settings)
    await pool.#open()
    return pool
  }

  get port (): number { return this.#server.port }

  /** Shuts down gracefully: refuses new work and waits up to `shutdownTimeoutMs` for requests and transactions in flight. */
  async close (): Promise<void> {
    this.#isStopping = true
    const deadline = this.#clock.readTime() + this.#settings.shutdownTimeoutMs
    while (this.#isBusy() && this.#clock.readTime() < deadline) await wait(DRAIN_POLL_INTERVAL_MS)
    for (const timer of this.#timers) clearInterval(timer)
    this.#link.close()
    this.#sender.close()
    await Promise.race([this.#server.close(), wait(DRAIN_POLL_INTERVAL_MS * 10)])
    this.#server.destroy()
    this.#registry.close()
    await this.#metricsServer?.close()
    await this.#tracing.close()
  }

  async #open (): Promise<void> {
    const { host, dataCentre, region, address, port, control } = this.#settings
    const hello: PeerHello = { host, incarnation: randomUUID(), dataCentre, region, role: 'pool', protocolVersions: [2] }
    const tls = this.#readTls()
    this.#server = await PeerServer.open({
      address, port, hello, ...(tls === undefined ? {} : { tls }), handleConnection: (connection) => { this.#acceptConnection(connection) }
    })
    this.#link = ControlLink.create({
      addresses: control,
      hello,
      address: { host: address, port: this.#server.port },
      tls,
      configuration: this.#configuration,
      clock: this.#clock,
      logger: this.#logger,
      handleChange: () => { this.#registry.update() }
    })
    this.#timers.push(
      setInterval(() => { this.#registry.closeUnusedTasks() }, MAINTENANCE_INTERVAL_MS),
      setInterval(() => { this.#sendReport() }, REPORT_INTERVAL_MS),
      setInterval(() => { for (const task of this.#registry.groups) this.#sender.schedule(task) }, this.#sender.refreshIntervalMs)
    )
    const { metricsPort } = this.#settings
    if (metricsPort !== undefined) {
      this.#metricsServer = await MetricsServer.open({ address, port: metricsPort, registry: this.#metrics.registry, isReady: () => this.#isReady() })
    }
    this.#logger.info('pool is listening', { address, port: this.#server.port })
  }

  #acceptConnection (connection: PeerConnection): void {
    const entry = EntryConnection.create({
      id: String(this.#nextEntry++),
      connection,
      findDatabase: (group, database) => this.#registry.findDatabase(group, database),
      findGroup: (group) => this.#registry.findGroup(group),
      listDatabases: () => this.#registry.databases,
      checkServing: () => { this.#checkServing() },
      handleClosed: () => { this.#entries.delete(entry) }
    })
    this.#entries.add(entry)
  }

  /** Reports the remaining work to control. A process that does not report counts as busy in a graceful shutdown of the host. */
  #sendReport (): void {
    const databases = [...this.#registry.databases]
    this.#link.sendReport({
      role: 'pool',
      configurationVersion: this.#configuration.version,
      remaining: databases.reduce((sum, { workCount }) => sum + workCount, 0),
      figures: { databases: databases.length, connections: databases.reduce((sum, { connectionCount }) => sum + connectionCount, 0) },
      organisations: {}
    })
  }

  #isReady (): boolean {
    return !this.#isStopping && this.#configuration.computeAgeMs(this.#clock.readTime()) <= this.#settings.staleConfigurationMs
  }

  #checkServing (): void {
    if (this.#isStopping) throw TanagerusherError.create('shutting-down')
    const ageMs = this.#configuration.computeAgeMs(this.#clock.readTime())
    if (ageMs > this.#settings.staleConfigurationMs) {
      throw TanagerusherError.create('configuration-stale', { details: { ageMs: Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER)) } })
    }
  }

  #sendStatus (task: GroupTask): void {
    if (![...this.#entries].some((entry) => entry.isWatching(task.name))) return
    const status = task.buildStatus()
    for (const entry of this.#entries) entry.sendStatus(status)
  }

  #isBusy (): boolean {
    return [...this.#registry.databases].some(({ isBusy }) => isBusy)
  }

  #readTls (): TlsFiles | undefined {
    const { tls } = this.#settings
    if (tls === undefined) return undefined
    return { cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile), ca: readFileSync(tls.authorityFile) }
  }
}
