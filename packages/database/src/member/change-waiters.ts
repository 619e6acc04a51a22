import type { Position } from '@tanagerusher/state/position/position'
import type { DatabaseMember } from './database-member.js'

interface WaitOptions {
  known: Position
  /** Promised term that the caller knows; absent means the one at the time of the call. */
  knownPromise?: number
  timeoutMs: number
  signal: AbortSignal
}

/** Calls of `platform_wait`. Changes of one event-loop turn are announced together. */
export class ChangeWaiters {
  readonly #member: DatabaseMember
  readonly #checks = new Set<() => void>()
  #scheduled = false

  private constructor (member: DatabaseMember) {
    this.#member = member
    member.watch(() => { this.#schedule() })
  }

  static create (member: DatabaseMember): ChangeWaiters {
    return new ChangeWaiters(member)
  }

  /** Resolves when the log, the promised term or the role differs from what is known, or after the time-out. */
  async wait ({ known, knownPromise = this.#member.promisedTerm, timeoutMs, signal }: WaitOptions): Promise<void> {
    const member = this.#member
    const knownRole = member.role
    const isChanged = (): boolean => member.last.position !== known.position || member.last.term !== known.term ||
      member.promisedTerm !== knownPromise || member.role !== knownRole
    if (isChanged()) return
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#checks.delete(check)
        resolve()
      }
      const check = (): void => { if (isChanged()) finish() }
      const timer = setTimeout(finish, timeoutMs)
      this.#checks.add(check)
      signal.addEventListener('abort', finish, { once: true })
    })
  }

  #schedule (): void {
    if (this.#scheduled || this.#checks.size === 0) return
    this.#scheduled = true
    setImmediate(() => {
      this.#scheduled = false
      for (const check of [...this.#checks]) check()
    })
  }
}
