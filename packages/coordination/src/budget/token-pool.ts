/**
 * The budget home's side of the exchange: holds the tokens that hosts deposit, up to the burst of an organisation, and grants
 * them to hosts on request. It starts empty and never grants more than was deposited. It grants whole tokens only, since
 * fractions of a token that are spread over many hosts cannot admit a request.
 */
export class TokenPool {
  readonly #tokens = new Map<string, number>()

  static create (): TokenPool {
    return new TokenPool()
  }

  deposit (organisation: string, tokens: number, burst: number): void {
    const held = this.#tokens.get(organisation) ?? 0
    this.#tokens.set(organisation, Math.min(held + Math.max(0, tokens), Math.max(1, burst)))
  }

  /** Takes whole tokens, up to `wanted` rounded up, for the requesting host and returns their number. */
  take (organisation: string, wanted: number): number {
    const held = this.#tokens.get(organisation) ?? 0
    const given = Math.min(Math.floor(held), Math.ceil(Math.max(0, wanted)))
    this.#tokens.set(organisation, held - given)
    return given
  }
}
