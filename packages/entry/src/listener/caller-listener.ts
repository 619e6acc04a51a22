import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { SessionServices } from '../session/session-services.js'
import { CallerCertificate } from './caller-certificate.js'
import { FailureDelayQueue } from './failure-delay-queue.js'
import { LogInTask } from './log-in-task.js'

interface OpenOptions {
  services: SessionServices
  handleCancel: (processId: number, secret: number) => Promise<void>
}

/** Accepts connections of callers and owns them until their log-in is complete. */
export class CallerListener {
  readonly #server: Server
  readonly #options: OpenOptions
  readonly #certificate: CallerCertificate | undefined
  readonly #failureDelayQueue: FailureDelayQueue
  /** Log-ins in progress, in order of arrival. */
  readonly #pending = new Set<LogInTask>()
  #isShuttingDown = false
  #port = 0
  #certificateCheckedAt: number

  private constructor (options: OpenOptions) {
    const { settings, logger, clock } = options.services
    const { callerTls, limits } = settings
    this.#options = options
    this.#certificate = callerTls === undefined ? undefined : CallerCertificate.create({ ...callerTls, logger })
    this.#failureDelayQueue = FailureDelayQueue.create({ delayMs: limits.logInFailureDelayMs, maximumDelayed: limits.maximumHeldFailures })
    this.#certificateCheckedAt = clock.readTime()
    this.#server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: limits.keepAliveMs }, (socket) => { this.#accept(socket) })
  }

  static async open (options: OpenOptions): Promise<CallerListener> {
    const listener = new CallerListener(options)
    await new Promise<void>((resolve, reject) => {
      listener.#server.once('error', reject)
      listener.#listen(options.services.settings.callerPort, resolve)
    })
    listener.#server.removeAllListeners('error')
    listener.#server.on('error', (error) => { options.services.logger.error('listener for callers failed', { reason: error.message }) })
    listener.#port = (listener.#server.address() as AddressInfo).port
    return listener
  }

  get port (): number {
    return this.#port
  }

  /** Called at the interval `sweepMs`. Closes connections whose log-in has timed out and reloads a changed certificate. */
  checkLimits (now: number): void {
    const { limits, certificateCheckMs } = this.#options.services.settings
    for (const task of this.#pending) {
      if (now - task.beganAt <= limits.logInTimeoutMs) break
      task.destroy()
    }
    if (now - this.#certificateCheckedAt < certificateCheckMs) return
    this.#certificateCheckedAt = now
    this.#certificate?.reload()
  }

  /** Stops accepting callers. */
  stop (): void {
    this.#isShuttingDown = true
    this.#server.close()
  }

  /** Accepts callers again after `stop`. */
  resume (): void {
    this.#isShuttingDown = false
    if (!this.#server.listening) this.#listen(this.#port, () => {})
  }

  close (): void {
    this.stop()
    this.#failureDelayQueue.close()
    for (const task of this.#pending) task.destroy()
  }

  #listen (port: number, handleListening: () => void): void {
    this.#server.listen({ host: this.#options.services.settings.address, port, backlog: 4096 }, handleListening)
  }

  #accept (socket: Socket): void {
    const { services, handleCancel } = this.#options
    if (this.#pending.size >= services.settings.limits.maximumPendingLogIns) this.#destroyOldest()
    const task = LogInTask.create({
      socket,
      services,
      handleCancel,
      failureDelayQueue: this.#failureDelayQueue,
      findSecureContext: () => this.#certificate?.context,
      isShuttingDown: () => this.#isShuttingDown
    })
    this.#pending.add(task)
    task.start(() => { this.#pending.delete(task) })
  }

  #destroyOldest (): void {
    const [oldest] = this.#pending
    if (oldest === undefined) return
    this.#pending.delete(oldest)
    oldest.destroy()
  }
}
