/** Fraction of a burst that the hosts may hold together, unless their reserves are larger; the budget home keeps tokens without demand. */
export const LOCAL_BURST_FRACTION = 0.5
