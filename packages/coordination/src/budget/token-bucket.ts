/** Sums of fractions such as 1/3 miss a whole token by rounding; a token counts as whole within this tolerance. */
const ROUNDING_TOLERANCE = 1e-9

/** Level of tokens. Whoever fills it decides how much and up to which limit; it never holds more than that limit. */
export class TokenBucket {
  #level = 0

  /** A bucket starts empty: a full one would give the burst again after every restart. */
  static create (): TokenBucket {
    return new TokenBucket()
  }

  get level (): number {
    return this.#level
  }

  /** Adds tokens; what is over `limit` is lost, also from what was there before. */
  fill (tokens: number, limit: number): void {
    this.#level = Math.max(0, Math.min(this.#level + tokens, limit))
  }

  /** Takes up to `wanted` whole tokens and returns how many. */
  take (wanted: number): number {
    const taken = Math.max(0, Math.min(Math.floor(wanted), Math.floor(this.#level + ROUNDING_TOLERANCE)))
    this.#level = Math.max(0, this.#level - taken)
    return taken
  }
}
