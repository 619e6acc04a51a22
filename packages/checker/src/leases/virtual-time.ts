import { AsyncLocalStorage } from 'node:async_hooks'
import { EventQueue } from '../common/event-queue.js'

interface CreateOptions {
  seed: number
  /** Returns the time at which a suspended host resumes, or undefined while it runs. */
  findResumeTime: (host: number) => number | undefined
}

interface Timer { isCancelled: boolean }

/** Host whose code is running. Shared by all runs, because each existing AsyncLocalStorage is propagated to every promise. */
const currentHost = new AsyncLocalStorage<number | undefined>()

const { setTimeout: setRealTimeout, clearTimeout: clearRealTimeout } = globalThis

/** Replaces timers by virtual time. Each timer belongs to the host whose code set it and is deferred while that host is suspended. */
export class VirtualTime {
  readonly queue: EventQueue
  readonly #findResumeTime: CreateOptions['findResumeTime']

  private constructor ({ seed, findResumeTime }: CreateOptions) {
    this.queue = EventQueue.create({ seed })
    this.#findResumeTime = findResumeTime
  }

  static create (options: CreateOptions): VirtualTime {
    return new VirtualTime(options)
  }

  get now (): number { return this.queue.now }

  /** Replaces the global timers until `close`. */
  open (): void {
    globalThis.setTimeout = ((run: () => void, delayMs = 0) => this.add(delayMs, run, currentHost.getStore())) as unknown as typeof setTimeout
    globalThis.clearTimeout = ((timer: Timer | undefined) => { if (timer !== undefined) timer.isCancelled = true }) as unknown as typeof clearTimeout
  }

  close (): void {
    globalThis.setTimeout = setRealTimeout
    globalThis.clearTimeout = clearRealTimeout
  }

  /** Runs code on behalf of a host, to which all timers and promises that it creates belong. */
  runAs<Result> (host: number | undefined, run: () => Result): Result {
    return currentHost.run(host, run)
  }

  add (delayMs: number, run: () => void, host?: number): Timer {
    const timer: Timer = { isCancelled: false }
    const fire = (): void => {
      if (timer.isCancelled) return
      const resumeAt = host === undefined ? undefined : this.#findResumeTime(host)
      if (resumeAt !== undefined) this.queue.add(resumeAt - this.queue.now, fire)
      else this.runAs(host, run)
    }
    this.queue.add(Math.max(0, delayMs), fire)
    return timer
  }

  /** Runs all events up to `time`. Code that awaits promises runs between the events. */
  async runUntil (time: number): Promise<void> {
    await drainPromises()
    for (let at = this.queue.findNextTime(time); at !== undefined; at = this.queue.findNextTime(time)) {
      this.queue.runUntil(at)
      await drainPromises()
    }
    this.queue.runUntil(time)
  }
}

/** Waits for the next tick, which runs only when no promise callback is pending. */
async function drainPromises (): Promise<void> {
  await new Promise<void>((resolve) => { process.nextTick(resolve) })
}
