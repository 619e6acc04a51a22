/** Turns single mechanisms off, to show that the checks notice it. All are on in the product. */
export interface RightsSwitches {
  /** A host keeps its right for ever. */
  neverExpire?: boolean
  /** A suspended host trusts the times from before. */
  ignoreSuspension?: boolean
  /** The promoter does not wait for the rights of other hosts. */
  skipBarrier?: boolean
  /** A commit counts whenever its answer arrives. */
  skipAnswerCheck?: boolean
  /** A proof counts from its arrival, whatever its age. */
  countFromAnswer?: boolean
  /** The endpoint is called without confirming the claim before. */
  skipConfirmation?: boolean
}
