import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Logger } from 'winston'
import type { CallerServer } from '../caller/caller-server.js'
import { delay } from './delay.js'
import type { FleetTask } from '../store/fleet-task.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'

interface CreateOptions {
  /** Time between the stop signal and the kill of the process. */
  graceMs: number
  callers: CallerServer
  registry: OwnerRegistry
  fleet: FleetTask
  /** Releases all primary leases. Must precede the removal of the host's record, from which promoting hosts read the lease holders. */
  releaseLeases: () => void
  clock: Clock
  logger: Logger
}

/** The load balancer checks readiness once a second and sends callers until two checks in a row fail. */
const BALANCER_DETECTION_MS = 2200
/** Fraction of the grace period in which open transactions may end. */
const TRANSACTION_GRACE_FRACTION = 0.5
/** Reserved for the exit of the process itself. */
const EXIT_MARGIN_MS = 400
/** Another owner may respond this long after the deadline that it was given, and the response then has to reach the caller. */
const RESPONSE_MARGIN_MS = 250
const POLL_INTERVAL_MS = 50
/** Timeout of one store call. If the record remains, the next promotion waits for the whole duration of the primary leases. */
const REMOVE_TIMEOUT_MS = 150
/** Time that other hosts need to choose other owners after the record is gone. */
const OWNER_HAND_OVER_MS = 1500

/** Graceful shutdown: requests in flight complete, idle callers are disconnected, and other hosts take over the database connections. */
export class HostShutdown {
  readonly #options: CreateOptions
  #responseDeadline: number | undefined
  #transactionDeadline: number | undefined
  #graceMs: number

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#graceMs = options.graceMs
  }

  static create (options: CreateOptions): HostShutdown {
    return new HostShutdown(options)
  }

  updateGrace (graceMs: number): void {
    this.#graceMs = graceMs
  }

  /** Time by which the last response must have been written; undefined while the host is not stopping. */
  get responseDeadline (): number | undefined { return this.#responseDeadline }

  /** Time after which no transaction continues or begins; undefined while the host is not stopping. */
  get transactionDeadline (): number | undefined { return this.#transactionDeadline }

  async run (): Promise<void> {
    const { callers, registry, fleet, releaseLeases, clock, logger } = this.#options
    const graceMs = this.#graceMs
    const startedAt = clock.readTime()
    this.#responseDeadline = startedAt + graceMs - EXIT_MARGIN_MS - RESPONSE_MARGIN_MS
    this.#transactionDeadline = startedAt + graceMs * TRANSACTION_GRACE_FRACTION
    logger.info('stopping', { sessions: callers.size, transactions: callers.openTransactions })
    void fleet.leave()
    while (clock.readTime() - startedAt < graceMs - EXIT_MARGIN_MS) {
      const elapsedMs = clock.readTime() - startedAt
      if (elapsedMs >= Math.min(BALANCER_DETECTION_MS, graceMs * TRANSACTION_GRACE_FRACTION)) callers.closeIdle()
      // The load balancer still sends callers while too few hosts of the data centre are ready, so accepting stops only here.
      if (elapsedMs >= graceMs * TRANSACTION_GRACE_FRACTION) callers.stopAccepting()
      if (elapsedMs >= graceMs * TRANSACTION_GRACE_FRACTION) callers.abortTransactions('the host stops')
      // Work of other hosts may have later deadlines than this host. It has not run, and their next attempt finds another owner.
      if (clock.readTime() >= this.#responseDeadline) registry.stopWaiting()
      if (elapsedMs >= BALANCER_DETECTION_MS + OWNER_HAND_OVER_MS && callers.size === 0 && !this.#isOwnerBusy()) break
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
    releaseLeases()
    await Promise.race([fleet.remove(), delay(REMOVE_TIMEOUT_MS)])
    logger.info('stop ends', { sessions: callers.size, requestsInFlight: callers.requestsInFlight, transactions: callers.openTransactions, tookMs: Math.round(clock.readTime() - startedAt) })
  }

  #isOwnerBusy (): boolean {
    return this.#options.registry.all.some(({ load, openTransactions }) => load.running > 0 || load.waiting > 0 || openTransactions > 0)
  }
}
