/** Disables single mechanisms, to show that the checks detect their absence. All mechanisms are enabled in the product. */
export interface LeaseSwitches {
  /** The lease of a host never expires. */
  neverExpire?: boolean
  /** A resumed host still relies on times from before its suspension. */
  ignoreSuspension?: boolean
  /** The promoting host does not wait until the leases of other hosts are released or expired. */
  skipBarrier?: boolean
  /** A commit is acknowledged no matter how late its response arrives. */
  skipResponseCheck?: boolean
  /** A lease is extended from the receipt of a confirmation instead of from the time at which it was requested or confirmed. */
  countFromResponse?: boolean
  /** The promotion endpoint is called without confirming the claim in the store first. */
  skipConfirmation?: boolean
  /** Claims that a restored store has lost are not written again, and its confirmations count without them. */
  skipClaimRestore?: boolean
}
