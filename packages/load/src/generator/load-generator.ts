import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Operation } from '../history/operation.js'
import { buildWork } from '../workload/build-work.js'
import type { Caller } from './caller.js'

interface LoadGeneratorOptions {
  callers: Caller[]
  clock: Clock
  /**
   * `open`: work is due at the arrivals of a Poisson process and waits while its caller is busy; latency counts from
   * the arrival. `closed`: a caller sends its next work after the last answer and a think time.
   */
  loop: 'open' | 'closed'
  durationMs: number
  operationsMaximum: number
  /** Probability that a caller moves to another host after an answer. */
  moveShare?: number
}

const FAILURE_DELAY_MS = 20

/** Drives callers until the time or the number of operations is reached, and collects what they saw. */
export class LoadGenerator {
  readonly operations: Operation[] = []
  readonly #options: LoadGeneratorOptions
  #started = 0
  #stopped = false

  private constructor (options: LoadGeneratorOptions) {
    this.#options = options
  }

  static create (options: LoadGeneratorOptions): LoadGenerator {
    return new LoadGenerator(options)
  }

  /** Runs all callers to their end and closes their sessions. */
  async run (): Promise<Operation[]> {
    const endMs = this.#options.clock.readTime() + this.#options.durationMs
    await Promise.all(this.#options.callers.map((caller) => this.#drive(caller, endMs)))
    return this.operations
  }

  /** Lets each caller finish the work that it has sent. */
  stop (): void {
    this.#stopped = true
  }

  async #drive (caller: Caller, endMs: number): Promise<void> {
    const { clock, loop, operationsMaximum, moveShare = 0.1 } = this.#options
    let dueMs = clock.readTime() + caller.random.takeExponential(caller.intervalMs)
    for (let count = 0; dueMs < endMs && this.#started < operationsMaximum; count++) {
      await waitUntil(dueMs, clock)
      if (this.#stopped || clock.readTime() >= endMs) break
      this.#started++
      const operation = await this.#send(caller, count, loop === 'open' ? dueMs : undefined)
      this.operations.push(operation)
      if (operation.outcome !== 'run') await waitUntil(clock.readTime() + FAILURE_DELAY_MS, clock)
      if (caller.random.takeBoolean(moveShare)) await caller.session.move()
      const base = loop === 'open' ? dueMs : clock.readTime()
      dueMs = base + caller.random.takeExponential(caller.intervalMs)
    }
    await caller.session.close()
  }

  async #send ({ session, callerClass, random }: Caller, count: number, dueMs: number | undefined): Promise<Operation> {
    const id = `${session.identity.session}-${count}`
    const work = buildWork({ callerClass, session: session.identity.session, id, random })
    const operation = await session.run(work, id, dueMs)
    return { ...operation, acceptsStale: callerClass.maximumAgeMs !== undefined }
  }
}

async function waitUntil (timeMs: number, clock: Clock): Promise<void> {
  const delay = timeMs - clock.readTime()
  if (delay > 0) await new Promise((resolve) => { setTimeout(resolve, delay) })
}
