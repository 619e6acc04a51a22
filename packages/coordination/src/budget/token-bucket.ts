import { TOKEN_ROUNDING_TOLERANCE } from './token-rounding-tolerance.js'

/** Token bucket whose caller computes the amount and the limit of each refill. The level never exceeds that limit. */
export class TokenBucket {
  #level = 0

  /** Creates an empty bucket: a full one would allow the burst again after every restart. */
  static create (): TokenBucket {
    return new TokenBucket()
  }

  get level (): number {
    return this.#level
  }

  /** Adds tokens and discards everything above `limit`, including tokens that were in the bucket before. */
  fill (tokens: number, limit: number): void {
    this.#level = Math.max(0, Math.min(this.#level + tokens, limit))
  }

  /** Takes up to `wanted` whole tokens and returns the number taken. */
  take (wanted: number): number {
    const taken = Math.max(0, Math.min(Math.floor(wanted), Math.floor(this.#level + TOKEN_ROUNDING_TOLERANCE)))
    this.#level = Math.max(0, this.#level - taken)
    return taken
  }
}
