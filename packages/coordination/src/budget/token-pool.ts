/**
 * Budget home's side of the exchange: keeps what hosts deposit, up to an organisation's burst, and gives it to hosts that
 * ask. It starts empty and never gives more than was deposited. It gives whole tokens: parts of one, spread over many hosts,
 * serve nobody.
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

  /** Whole tokens, up to `wanted` rounded up; they now belong to the asking host. */
  take (organisation: string, wanted: number): number {
    const held = this.#tokens.get(organisation) ?? 0
    const given = Math.min(Math.floor(held), Math.ceil(Math.max(0, wanted)))
    this.#tokens.set(organisation, held - given)
    return given
  }
}
