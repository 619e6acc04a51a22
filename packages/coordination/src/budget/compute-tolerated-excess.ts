interface Options { ratePerSecond: number, burst: number }

/** Fraction of the operations within a window that may run over the rate. */
const TOLERANCE = 0.1
const WINDOW_SECONDS = 5

/** Returns the number of operations of an organisation that may run over its rate and burst in one window. */
export function computeToleratedExcess ({ ratePerSecond, burst }: Options): number {
  return TOLERANCE * (ratePerSecond * WINDOW_SECONDS + burst)
}
