import { computeToleratedExcess } from './compute-tolerated-excess.js'
import { MAX_SMALL_FLEET_HOSTS } from './max-small-fleet-hosts.js'

interface Options {
  ratePerSecond: number
  burst: number
  /** Number of hosts that divide the rate. */
  hosts: number
  /** Number of requests over the rate that all hosts together may admit once. */
  overdraft: number
}

interface SmallRatePlan {
  /** Tokens up to which a host accrues. */
  ceiling: number
  /** Tokens from which on a host deposits. */
  depositTokens: number
  /** Tokens that a budget home lends before they were deposited. */
  credit: number
}

/** Part of the overdraft that a budget home lends. With 0.5, homes that followed each other lent up to 28% more than the tolerance and slack allow. */
const CREDIT_FRACTION = 0.1
/** A host deposits at this fraction of its ceiling. At 0.7, 150 hosts lost tokens at the ceiling between two deposits; at 0.5, 300 hosts sent more messages than before. */
const DEPOSIT_FRACTION = 0.6

/**
 * Decides how an organisation's tokens are held in a fleet in which a whole token at every host would exceed the tolerance of
 * the rate. Returns undefined where every host may hold one, so that its own accrual admits requests.
 */
export function planSmallRate ({ ratePerSecond, burst, hosts, overdraft }: Options): SmallRatePlan | undefined {
  const heldTokens = Math.max(MAX_SMALL_FLEET_HOSTS, computeToleratedExcess({ ratePerSecond, burst }) + overdraft * (1 - CREDIT_FRACTION))
  if (!(heldTokens < hosts)) return undefined
  return { ceiling: heldTokens / hosts, depositTokens: heldTokens / hosts * DEPOSIT_FRACTION, credit: Math.min(burst, overdraft * CREDIT_FRACTION) }
}
