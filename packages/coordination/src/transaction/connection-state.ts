export type TransactionStatus = 'I' | 'T' | 'E'

/** Action that the pool takes on an upstream connection when a request on it has ended. */
export type ConnectionAction =
  /** The connection is available to any session. */
  | 'reuse'
  /** Session state must be cleared before the connection is available to other sessions. */
  | 'reset'
  /** The connection stays assigned to its session, whose transaction is open. */
  | 'keep'
  | 'destroy'

interface FinishedRequest {
  requestId: string
  status: TransactionStatus
  /** Whether settings, temporary tables, cursors or locks of the request may remain on the connection. */
  mayLeaveState: boolean
}

type State = 'idle' | 'running' | 'pinned' | 'resetting' | 'destroyed'

/**
 * State machine of one upstream connection. The connection is assigned to one session from the start of a request to the end of
 * its transaction. Any event that is not valid in the current state destroys it: opening another connection costs little, while
 * a connection shared by two sessions could deliver a response to the wrong one.
 */
export class ConnectionState {
  #state: State = 'idle'
  #session: string | undefined
  #requestId: string | undefined
  #cancelsInFlight = 0
  #hasState = false

  static create (): ConnectionState {
    return new ConnectionState()
  }

  get session (): string | undefined { return this.#session }
  get isIdle (): boolean { return this.#state === 'idle' }
  get isPinned (): boolean { return this.#state === 'pinned' }
  get isDestroyed (): boolean { return this.#state === 'destroyed' }

  /** Returns false, and destroys the connection, when it may not run a request of this session. */
  start (session: string, requestId: string): boolean {
    const isAllowed = this.#state === 'idle' || (this.#state === 'pinned' && this.#session === session)
    if (!isAllowed || this.#cancelsInFlight > 0) {
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
    // A cancel request in flight could cancel the next request, of another session.
    if (this.#cancelsInFlight > 0) return this.destroy()
    this.#session = undefined
    this.#state = this.#hasState ? 'resetting' : 'idle'
    return this.#hasState ? 'reset' : 'reuse'
  }

  finishReset (hasSucceeded: boolean): ConnectionAction {
    if (this.#state !== 'resetting' || !hasSucceeded) return this.destroy()
    this.#state = 'idle'
    this.#hasState = false
    return 'reuse'
  }

  /** Returns whether a cancel may be sent: only while this request is running and no other cancel is in flight. */
  startCancel (requestId: string): boolean {
    if (this.#state !== 'running' || this.#requestId !== requestId || this.#cancelsInFlight > 0) return false
    this.#cancelsInFlight++
    return true
  }

  /** Destroys the connection when delivery of the cancel is uncertain, because the cancel may still reach a later statement. */
  finishCancel (isDelivered: boolean): void {
    this.#cancelsInFlight = Math.max(0, this.#cancelsInFlight - 1)
    if (!isDelivered) this.destroy()
  }

  /** Called when the connection's session has ended or an event was not valid in the current state. */
  destroy (): 'destroy' {
    this.#state = 'destroyed'
    this.#session = undefined
    this.#requestId = undefined
    return 'destroy'
  }
}
