import type { Position } from '@tanagerusher/state/position/position'
import type { DatabaseMember } from './database-member.js'

interface WaitOptions {
  knownPosition: Position
  /** Promised term that the caller last received; absent means the one at the time of the call. */
  knownPromisedTerm?: number
  timeoutMs: number
  signal: AbortSignal
}

/** Pending calls of `platform_wait`. They are checked once after all changes of one event-loop turn. */
export class ChangeWaiters {
  readonly #member: DatabaseMember
  readonly #pendingChecks = new Set<() => void>()
  #isScheduled = false

  private constructor (member: DatabaseMember) {
    this.#member = member
    member.watch(() => { this.#schedule() })
  }

  static create (member: DatabaseMember): ChangeWaiters {
    return new ChangeWaiters(member)
  }

  /** Resolves when the log, the promised term or the role differs from the known state, when `signal` aborts, or after the time-out. */
  async wait ({ knownPosition, knownPromisedTerm = this.#member.promisedTerm, timeoutMs, signal }: WaitOptions): Promise<void> {
    const member = this.#member
    const knownRole = member.role
    const isChanged = (): boolean => member.last.position !== knownPosition.position || member.last.term !== knownPosition.term ||
      member.promisedTerm !== knownPromisedTerm || member.role !== knownRole
    if (isChanged()) return
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#pendingChecks.delete(check)
        resolve()
      }
      const check = (): void => { if (isChanged()) finish() }
      const timer = setTimeout(finish, timeoutMs)
      this.#pendingChecks.add(check)
      signal.addEventListener('abort', finish, { once: true })
    })
  }

  #schedule (): void {
    if (this.#isScheduled || this.#pendingChecks.size === 0) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      for (const check of [...this.#pendingChecks]) check()
    })
  }
}
