export type RequestPhase = 'waiting' | 'sent' | 'confirming'

interface PendingRequest {
  requestId: string
  sessionId: string
  owner: string
  phase: RequestPhase
}

/**
 * Requests in flight by their identifier, which is the same from caller to upstream. A response with an identifier that is not
 * pending, or one received in a phase that expects none, must be discarded.
 */
export class PendingRequests {
  readonly #requests = new Map<string, PendingRequest>()

  static create (): PendingRequests {
    return new PendingRequests()
  }

  get size (): number { return this.#requests.size }

  /** Returns false when a pending request has the same identifier. */
  add (requestId: string, sessionId: string, owner: string): boolean {
    if (this.#requests.has(requestId)) return false
    this.#requests.set(requestId, { requestId, sessionId, owner, phase: 'waiting' })
    return true
  }

  setPhase (requestId: string, phase: RequestPhase): boolean {
    const request = this.#requests.get(requestId)
    if (request === undefined) return false
    request.phase = phase
    return true
  }

  findPhase (requestId: string): RequestPhase | undefined {
    return this.#requests.get(requestId)?.phase
  }

  /** Removes the request. Returns true only for the first response to it; later responses must be discarded. */
  take (requestId: string): boolean {
    return this.#requests.delete(requestId)
  }

  /** Returns the identifiers of the requests received from `owner`, so that they can be aborted when its connection is lost. */
  listByOwner (owner: string): string[] {
    return [...this.#requests.values()].filter((request) => request.owner === owner).map(({ requestId }) => requestId)
  }
}
