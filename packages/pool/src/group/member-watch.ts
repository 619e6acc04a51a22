import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'

interface CreateOptions {
  database: string
  databases: DatabaseGroup
  clock: Clock
  /** Whether somebody waits for this member's next position. */
  needsHaste: () => boolean
  handleStatus: (status: DatabaseStatus, askedAt: number) => void
  handleRefused: () => void
}

/** A third of the silence that raises suspicion, so that one lost answer is not enough. */
const POLL_MS = 200
/** Pause between polls when nobody waits: limits the calls to a member that is written to all the time. */
const IDLE_PAUSE_MS = 20
const RETRY_PAUSE_MS = 100
const NOTHING_KNOWN = { term: 0, position: 0 }

/** Long poll of one member's position. */
export class MemberWatch {
  readonly #options: CreateOptions
  #status: DatabaseStatus | undefined
  #heardAt = 0
  #isClosed = false
  #wake: (() => void) | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): MemberWatch {
    const watch = new MemberWatch(options)
    void watch.#run()
    return watch
  }

  get status (): DatabaseStatus | undefined { return this.#status }
  get heardAt (): number { return this.#heardAt }

  isReachable (now: number, limitMs: number): boolean {
    return this.#status !== undefined && now - this.#heardAt < limitMs
  }

  /** Ends the pause between polls. */
  wake (): void {
    this.#wake?.()
  }

  /** Takes a status that was read elsewhere; an older one than the known one is dropped. */
  observe (status: DatabaseStatus, askedAt: number): void {
    const now = this.#options.clock.readTime()
    const known = this.#status
    this.#heardAt = now
    if (known !== undefined && isOlder(status, known)) return
    this.#status = status
    this.#options.handleStatus(status, askedAt)
  }

  close (): void {
    this.#isClosed = true
    this.wake()
  }

  async #run (): Promise<void> {
    while (!this.#isClosed) {
      const askedAt = this.#options.clock.readTime()
      try {
        const status = await this.#options.databases.waitForChange(this.#options.database, this.#status?.log ?? NOTHING_KNOWN, POLL_MS, this.#status?.promisedTerm)
        if (this.#isClosed) return
        this.observe(status, askedAt)
        if (!this.#options.needsHaste()) await this.#pause(IDLE_PAUSE_MS)
      } catch (error) {
        if (this.#isClosed) return
        if ((error as { code?: string }).code === 'ECONNREFUSED') this.#options.handleRefused()
        await this.#pause(RETRY_PAUSE_MS)
      }
    }
  }

  async #pause (durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs)
      this.#wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.#wake = undefined
  }
}

/** A log shrinks only when its term rises, so a lower position in the same term was read earlier. */
function isOlder (status: DatabaseStatus, known: DatabaseStatus): boolean {
  if (status.promisedTerm !== known.promisedTerm) return status.promisedTerm < known.promisedTerm
  return status.log.term < known.log.term || (status.log.term === known.log.term && status.log.position < known.log.position)
}
