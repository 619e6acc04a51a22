import { AsyncLocalStorage } from 'node:async_hooks'
import { EventQueue } from '../common/event-queue.js'

interface CreateOptions {
  seed: number
  /** Time until which a host stands still; undefined while it runs. */
  findResume: (host: number) => number | undefined
}

interface Timer { isCancelled: boolean }

/** Host whose code runs; one for all runs, since every promise passes each storage that exists. */
const owner = new AsyncLocalStorage<number | undefined>()

const { setTimeout: setRealTimeout, clearTimeout: clearRealTimeout } = globalThis

/** Runs code with timers in virtual time. Each timer belongs to the host whose code set it, and waits while that is suspended. */
export class VirtualTime {
  readonly queue: EventQueue
  readonly #findResume: CreateOptions['findResume']

  private constructor ({ seed, findResume }: CreateOptions) {
    this.queue = EventQueue.create({ seed })
    this.#findResume = findResume
  }

  static create (options: CreateOptions): VirtualTime {
    return new VirtualTime(options)
  }

  get now (): number { return this.queue.now }

  /** Replaces the global timers until `close`. */
  open (): void {
    globalThis.setTimeout = ((run: () => void, delayMs = 0) => this.add(delayMs, run, owner.getStore())) as unknown as typeof setTimeout
    globalThis.clearTimeout = ((timer: Timer | undefined) => { if (timer !== undefined) timer.isCancelled = true }) as unknown as typeof clearTimeout
  }

  close (): void {
    globalThis.setTimeout = setRealTimeout
    globalThis.clearTimeout = clearRealTimeout
  }

  /** Runs code as a host; what it starts belongs to that host. */
  runAs<Result> (host: number | undefined, run: () => Result): Result {
    return owner.run(host, run)
  }

  add (delayMs: number, run: () => void, host?: number): Timer {
    const timer: Timer = { isCancelled: false }
    const fire = (): void => {
      if (timer.isCancelled) return
      const resumeAt = host === undefined ? undefined : this.#findResume(host)
      if (resumeAt !== undefined) this.queue.add(resumeAt - this.queue.now, fire)
      else this.runAs(host, run)
    }
    this.queue.add(Math.max(0, delayMs), fire)
    return timer
  }

  /** Lets everything happen up to a time; code that waits for promises runs between the events. */
  async runUntil (time: number): Promise<void> {
    await drainPromises()
    for (let at = this.queue.findNext(time); at !== undefined; at = this.queue.findNext(time)) {
      this.queue.runUntil(at)
      await drainPromises()
    }
    this.queue.runUntil(time)
  }
}

/** A tick runs when all promises that can go on have gone on. */
async function drainPromises (): Promise<void> {
  await new Promise<void>((resolve) => { process.nextTick(resolve) })
}
