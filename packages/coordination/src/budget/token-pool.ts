import { TOKEN_ROUNDING_TOLERANCE } from './token-rounding-tolerance.js'

interface Account { tokens: number, openedAt: number, depositedAt: number }

/** Limits of an organisation's account, as `TokenExchange.readHomeLimits` returns them. */
interface HomeLimits { capacity: number, credit: number, creditPerSecond: number }

/**
 * A home drops its tokens and its credit when it got no deposit for this time: the hosts deposit at another home, and the tokens would be
 * a second burst when they return.
 */
const UNUSED_EXPIRY_MS = 5000

/**
 * The budget home's side of the exchange: holds the tokens that hosts deposit, up to the capacity of an organisation, and grants
 * them to hosts on request. It starts empty and never grants more than was deposited and it may lend. It grants whole tokens only,
 * since fractions of a token that are spread over many hosts cannot admit a request.
 */
export class TokenPool {
  readonly #accounts = new Map<string, Account>()

  static create (): TokenPool {
    return new TokenPool()
  }

  deposit (organisation: string, tokens: number, { capacity }: HomeLimits, now: number): void {
    const account = this.#readAccount(organisation, now)
    account.tokens = Math.min(account.tokens + Math.max(0, tokens), capacity)
    account.depositedAt = now
  }

  /**
   * Takes whole tokens, up to `wanted` rounded up, for the requesting host and returns their number. Lent tokens are repaid by deposits.
   * Credit grows from the time at which the hosts began to use this home, so that changes of homes in a row lend no more than the fleet accrues.
   */
  take (organisation: string, wanted: number, { capacity, credit, creditPerSecond }: HomeLimits, now: number): number {
    const account = this.#readAccount(organisation, now)
    account.tokens = Math.min(account.tokens, capacity)
    const available = account.tokens + (credit === 0 ? 0 : Math.min(credit, creditPerSecond * (now - account.openedAt) / 1000))
    const given = Math.max(0, Math.min(Math.floor(available + TOKEN_ROUNDING_TOLERANCE), Math.ceil(Math.max(0, wanted))))
    account.tokens -= given
    return given
  }

  /** Tokens that were granted and not deposited yet, over all organisations. */
  get lentTokens (): number {
    let lent = 0
    for (const { tokens } of this.#accounts.values()) lent += Math.max(0, -tokens)
    return lent
  }

  #readAccount (organisation: string, now: number): Account {
    const account = this.#accounts.get(organisation) ?? { tokens: 0, openedAt: now, depositedAt: now }
    this.#accounts.set(organisation, account)
    if (now - account.depositedAt < UNUSED_EXPIRY_MS) return account
    account.tokens = Math.min(account.tokens, 0)
    account.openedAt = now
    account.depositedAt = now
    return account
  }
}
