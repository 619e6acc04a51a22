import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'

interface CreateOptions {
  database: string
  databases: DatabaseGroup
  clock: Clock
  /** Whether a request waits for the next position of this member. */
  hasWaiters: () => boolean
  handleStatus: (status: DatabaseStatus, requestedAt: number) => void
  handleRefused: () => void
}

/** A third of the default `suspectAfterMs`, so that one lost response does not make the member a suspect. */
const POLL_TIMEOUT_MS = 200
/** Pause between polls when no request waits. Limits the calls to a member whose position changes constantly. */
const IDLE_DELAY_MS = 20
const RETRY_DELAY_MS = 100
const INITIAL_POSITION = { term: 0, position: 0 }

/** Watches the position of one member by long polling. */
export class MemberWatch {
  readonly #options: CreateOptions
  #status: DatabaseStatus | undefined
  #receivedAt = 0
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
  get receivedAt (): number { return this.#receivedAt }

  isReachable (now: number, limitMs: number): boolean {
    return this.#status !== undefined && now - this.#receivedAt < limitMs
  }

  /** Ends the pause between polls. */
  wake (): void {
    this.#wake?.()
  }

  /** Records a status that was requested at `requestedAt`. Drops a status that is older than the last one. */
  observe (status: DatabaseStatus, requestedAt: number): void {
    const now = this.#options.clock.readTime()
    const known = this.#status
    this.#receivedAt = now
    if (known !== undefined && isOlder(status, known)) return
    this.#status = status
    this.#options.handleStatus(status, requestedAt)
  }

  close (): void {
    this.#isClosed = true
    this.wake()
  }

  async #run (): Promise<void> {
    while (!this.#isClosed) {
      const requestedAt = this.#options.clock.readTime()
      try {
        const status = await this.#options.databases.waitForChange(this.#options.database, this.#status?.log ?? INITIAL_POSITION, POLL_TIMEOUT_MS, this.#status?.promisedTerm)
        if (this.#isClosed) return
        this.observe(status, requestedAt)
        if (!this.#options.hasWaiters()) await this.#pause(IDLE_DELAY_MS)
      } catch (error) {
        if (this.#isClosed) return
        if ((error as { code?: string }).code === 'ECONNREFUSED') this.#options.handleRefused()
        await this.#pause(RETRY_DELAY_MS)
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

/** Logs are truncated only when the term rises, so a lower position in the same term was read earlier. */
function isOlder (status: DatabaseStatus, known: DatabaseStatus): boolean {
  if (status.promisedTerm !== known.promisedTerm) return status.promisedTerm < known.promisedTerm
  return status.log.term < known.log.term || (status.log.term === known.log.term && status.log.position < known.log.position)
}
