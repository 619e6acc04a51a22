import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Operation } from '../history/operation.js'
import { buildWork } from '../workload/build-work.js'
import type { Caller } from './caller.js'

interface LoadGeneratorOptions {
  callers: Caller[]
  clock: Clock
  /**
   * `open`: work is due at the arrivals of a Poisson process and waits while its caller is busy. Its latency counts from
   * the arrival. `closed`: a caller sends its next work one think time after the previous response.
   */
  loop: 'open' | 'closed'
  durationMs: number
  operationsMaximum: number
  /** Probability that a caller moves to another host after a response. */
  moveShare?: number
}

const FAILURE_DELAY_MS = 20

/** Runs callers until the duration or the maximum number of operations is reached, and collects their operations. */
export class LoadGenerator {
  readonly operations: Operation[] = []
  readonly #options: LoadGeneratorOptions
  #startedCount = 0
  #isStopped = false

  private constructor (options: LoadGeneratorOptions) {
    this.#options = options
  }

  static create (options: LoadGeneratorOptions): LoadGenerator {
    return new LoadGenerator(options)
  }

  /** Runs all callers until they finish and closes their sessions. Returns all operations. */
  async run (): Promise<Operation[]> {
    const endMs = this.#options.clock.readTime() + this.#options.durationMs
    await Promise.all(this.#options.callers.map((caller) => this.#runCaller(caller, endMs)))
    return this.operations
  }

  /** Stops sending new work. Each caller still completes the work that it has in flight. */
  stop (): void {
    this.#isStopped = true
  }

  async #runCaller (caller: Caller, endMs: number): Promise<void> {
    const { clock, loop, operationsMaximum, moveShare = 0.1 } = this.#options
    let dueMs = clock.readTime() + caller.random.takeExponential(caller.meanIntervalMs)
    for (let count = 0; dueMs < endMs && this.#startedCount < operationsMaximum; count++) {
      await waitUntil(dueMs, clock)
      if (this.#isStopped || clock.readTime() >= endMs) break
      this.#startedCount++
      const operation = await this.#send(caller, count, loop === 'open' ? dueMs : undefined)
      this.operations.push(operation)
      if (operation.outcome !== 'run') await waitUntil(clock.readTime() + FAILURE_DELAY_MS, clock)
      if (caller.random.takeBoolean(moveShare)) await caller.session.move()
      const baseMs = loop === 'open' ? dueMs : clock.readTime()
      dueMs = baseMs + caller.random.takeExponential(caller.meanIntervalMs)
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
  const delayMs = timeMs - clock.readTime()
  if (delayMs > 0) await new Promise((resolve) => { setTimeout(resolve, delayMs) })
}
