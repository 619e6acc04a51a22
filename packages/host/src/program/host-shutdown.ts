import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Logger } from 'winston'
import type { CallerServer } from '../caller/caller-server.js'
import { pause } from './pause.js'
import type { FleetTask } from '../store/fleet-task.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'

interface CreateOptions {
  /** Time until the process is killed. */
  graceMs: number
  callers: CallerServer
  registry: OwnerRegistry
  fleet: FleetTask
  /** Gives up the right to use any primary, before the record that promoters go by is removed. */
  releaseRights: () => void
  clock: Clock
  logger: Logger
}

/** The balancer asks once a second and sends callers until two answers in a row were not ready. */
const BALANCER_MS = 2200
/** Open transactions have this part of the grace period to end. */
const TRANSACTION_PART = 0.5
/** Kept for the end of the process itself. */
const MARGIN_MS = 400
/** Time for an answer to reach its caller. */
const ANSWER_MARGIN_MS = 100
const STEP_MS = 50
/** One call of the store; a record that stays costs the next promotion the limit of the rights. */
const REMOVE_MS = 150
/** Other hosts need this long to choose other owners after the record is gone. */
const HAND_OVER_MS = 1500

/** Graceful stop: no request is cut, idle callers move on, and other hosts take the connections over. */
export class HostShutdown {
  readonly #options: CreateOptions
  #answerDeadline: number | undefined
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

  /** Time by which the last answer must have been written; undefined while the host does not stop. */
  get answerDeadline (): number | undefined { return this.#answerDeadline }

  async run (): Promise<void> {
    const { callers, fleet, releaseRights, clock, logger } = this.#options
    const graceMs = this.#graceMs
    const startedAt = clock.readTime()
    this.#answerDeadline = startedAt + graceMs - MARGIN_MS - ANSWER_MARGIN_MS
    logger.info('stopping', { sessions: callers.size, transactions: callers.openTransactions })
    void fleet.leave()
    while (clock.readTime() - startedAt < graceMs - MARGIN_MS) {
      const elapsedMs = clock.readTime() - startedAt
      if (elapsedMs >= Math.min(BALANCER_MS, graceMs * TRANSACTION_PART)) callers.closeIdle()
      // The balancer sends callers on while too few hosts of the data centre are ready.
      if (elapsedMs >= graceMs * TRANSACTION_PART) callers.stopAccepting()
      if (elapsedMs >= graceMs * TRANSACTION_PART) callers.abortTransactions('the host stops')
      if (elapsedMs >= BALANCER_MS + HAND_OVER_MS && callers.size === 0 && !this.#isOwnerBusy()) break
      await new Promise((resolve) => setTimeout(resolve, STEP_MS))
    }
    releaseRights()
    await Promise.race([fleet.remove(), pause(REMOVE_MS)])
    logger.info('stop ends', { sessions: callers.size, transactions: callers.openTransactions, tookMs: Math.round(clock.readTime() - startedAt) })
  }

  #isOwnerBusy (): boolean {
    return this.#options.registry.all.some(({ load, openTransactions }) => load.running > 0 || load.waiting > 0 || openTransactions > 0)
  }
}
