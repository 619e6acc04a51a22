export type RequestPhase = 'waiting' | 'sent' | 'confirming'

interface PendingRequest {
  requestId: string
  sessionId: string
  owner: string
  phase: RequestPhase
}

/**
 * Requests in flight by their identifier, which is the same from caller to upstream. An answer whose identifier is not
 * here, or that arrives in a phase that expects none, belongs to nobody and must be discarded.
 */
export class PendingRequests {
  readonly #requests = new Map<string, PendingRequest>()

  static create (): PendingRequests {
    return new PendingRequests()
  }

  get size (): number { return this.#requests.size }

  /** False when the identifier is in use already. */
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

  /** True once for each identifier: the answer that comes first is the answer. */
  take (requestId: string): boolean {
    return this.#requests.delete(requestId)
  }

  /** Requests that came over a connection that is gone. */
  listByOwner (owner: string): string[] {
    return [...this.#requests.values()].filter((request) => request.owner === owner).map(({ requestId }) => requestId)
  }
}
