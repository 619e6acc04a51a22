/** Addresses on which a host listens, as `ip:port`. */
export interface HostAddresses {
  callerAddress: string
  readinessAddress: string
  peerAddress: string
  /** Undefined when the settings have no metrics port. */
  metricsAddress: string | undefined
}
