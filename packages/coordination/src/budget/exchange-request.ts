/** Tokens by organisation that a host deposits at the budget home, and those that it requests from it. */
export interface ExchangeRequest { deposits: Record<string, number>, wants: Record<string, number> }
