export type TransactionStatus = 'I' | 'T' | 'E'

/** What happens to an upstream connection when a request on it has ended. */
export type ConnectionAction =
  /** The next request of any session may use it. */
  | 'reuse'
  /** Session state must be cleared first. */
  | 'reset'
  /** It stays with its session, whose transaction is open. */
  | 'keep'
  | 'destroy'

interface FinishedRequest {
  requestId: string
  status: TransactionStatus
  /** The request may have left settings, temporary tables, cursors or locks behind. */
  mayLeaveState: boolean
}

type State = 'idle' | 'running' | 'pinned' | 'resetting' | 'destroyed'

/**
 * State of one upstream connection. It belongs to one session from the start of a request to the end of its transaction,
 * and any event that does not fit the state destroys it: a destroyed connection costs a set-up, a mixed one an answer.
 */
export class ConnectionState {
  #state: State = 'idle'
  #session: string | undefined
  #requestId: string | undefined
  #cancelling = 0
  #hasState = false

  static create (): ConnectionState {
    return new ConnectionState()
  }

  get session (): string | undefined { return this.#session }
  get isIdle (): boolean { return this.#state === 'idle' }
  get isPinned (): boolean { return this.#state === 'pinned' }
  get isDestroyed (): boolean { return this.#state === 'destroyed' }

  /** False when the connection may not run a request of this session; it is then destroyed. */
  start (session: string, requestId: string): boolean {
    const fits = this.#state === 'idle' || (this.#state === 'pinned' && this.#session === session)
    if (!fits || this.#cancelling > 0) {
      this.destroy()
      return false
    }
    this.#state = 'running'
    this.#session = session
    this.#requestId = requestId
    return true
  }

  finish ({ requestId, status, mayLeaveState }: FinishedRequest): ConnectionAction {
    if (this.#state !== 'running' || this.#requestId !== requestId) return this.destroy()
    this.#requestId = undefined
    this.#hasState ||= mayLeaveState
    if (status !== 'I') {
      this.#state = 'pinned'
      return 'keep'
    }
    // A cancel request under way could hit the next request of another session.
    if (this.#cancelling > 0) return this.destroy()
    this.#session = undefined
    this.#state = this.#hasState ? 'resetting' : 'idle'
    return this.#hasState ? 'reset' : 'reuse'
  }

  finishReset (succeeded: boolean): ConnectionAction {
    if (this.#state !== 'resetting' || !succeeded) return this.destroy()
    this.#state = 'idle'
    this.#hasState = false
    return 'reuse'
  }

  /** A cancel may be sent only while exactly this request runs and none is under way. */
  startCancel (requestId: string): boolean {
    if (this.#state !== 'running' || this.#requestId !== requestId || this.#cancelling > 0) return false
    this.#cancelling++
    return true
  }

  /** A cancel whose delivery is not certain may still hit a later statement, so the connection ends. */
  finishCancel (delivered: boolean): void {
    this.#cancelling = Math.max(0, this.#cancelling - 1)
    if (!delivered) this.destroy()
  }

  /** The session that owns the connection is gone, or something unexpected happened. */
  destroy (): 'destroy' {
    this.#state = 'destroyed'
    this.#session = undefined
    this.#requestId = undefined
    return 'destroy'
  }
}
