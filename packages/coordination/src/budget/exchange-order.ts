/** Tokens by organisation that a host brings to the budget home and those that it wants from there. */
export interface ExchangeOrder { deposits: Record<string, number>, wants: Record<string, number> }
