/** Disables single mechanisms, to show that the checks detect their absence. All mechanisms are enabled in the product. */
export interface MechanismSwitches {
  /** Acknowledges a write as soon as the primary has written it, without a majority. */
  acknowledgeAtPrimary?: boolean
  /** Compares floors by position only, without the term. */
  ignoreFloorTerm?: boolean
  /** Reads at a replica without a floor when the session has no token, instead of probing for a position. */
  skipProbe?: boolean
  /** Repeats work of unknown outcome without an idempotency record. */
  repeatWithoutRecord?: boolean
  /** Reports work whose response was lost as not run. */
  reportLostAsNotRun?: boolean
}
