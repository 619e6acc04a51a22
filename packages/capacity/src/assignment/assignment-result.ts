/** Balance and cost of one assignment policy. */
export interface AssignmentResult {
  policy: string
  width: number
  /** Databases of the host that has the most, divided by the mean over all hosts. */
  maximumOverMean: number
  /** Databases that change owner when a host fails, divided by the databases of that host. */
  movedOverLost: number
  /** Hosts that take over databases of the failed host. */
  takers: number
  /** Most databases that one host takes over. It has to set up their connections, so this number bounds the duration of the takeover. */
  mostTaken: number
  cpuMsPerChange: number
}
