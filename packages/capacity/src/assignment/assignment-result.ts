/** What one way to place databases costs and gives. */
export interface AssignmentResult {
  policy: string
  width: number
  /** Databases of the fullest host over the mean. */
  maximumOverMean: number
  /** Databases that change owner when a host fails, over the databases of that host. */
  movedOverLost: number
  /** Hosts that take over databases of the failed host. */
  takers: number
  /** Databases that the busiest taker takes over. It sets up their connections, so this bounds the duration. */
  mostTaken: number
  cpuMsPerChange: number
}
