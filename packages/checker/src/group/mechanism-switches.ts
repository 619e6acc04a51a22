/** Turns single mechanisms off, to show that the checks notice it. All are on in the product. */
export interface MechanismSwitches {
  /** Acknowledge when the primary has written, without a majority. */
  acknowledgeAtPrimary?: boolean
  /** Compare floors by position only. */
  ignoreFloorTerm?: boolean
  /** Read at a replica without a floor when the session brought none. */
  skipProbe?: boolean
  /** Repeat work of unknown outcome without an idempotency record. */
  repeatWithoutRecord?: boolean
  /** Report lost answers as not run. */
  reportLostAsNotRun?: boolean
}
