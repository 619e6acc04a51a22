import { computeToleratedExcess } from './compute-tolerated-excess.js'
import { LOCAL_BURST_FRACTION } from './local-burst-fraction.js'

interface Options { ratePerSecond: number, burst: number, hosts: number, overdraft: number }

/**
 * Returns the tokens that the budget homes of an organisation may keep together: the burst, or less where the hosts' own tokens exceed
 * the tolerance of the rate. That is so for a burst of more than about 1.25 s of the rate.
 */
export function computeHomeCapacity ({ ratePerSecond, burst, hosts, overdraft }: Options): number {
  // Hosts deposit what exceeds their reserve, so a home without a bound still passes on no more than the rate.
  if (!Number.isFinite(burst)) return Infinity
  const tolerated = computeToleratedExcess({ ratePerSecond, burst })
  const heldByHosts = Math.max(burst * LOCAL_BURST_FRACTION, Math.min(hosts, tolerated + overdraft))
  return Math.max(1, Math.min(burst, burst + tolerated + overdraft - heldByHosts))
}
