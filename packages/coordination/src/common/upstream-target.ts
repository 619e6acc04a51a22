export interface UpstreamTarget {
  id: string
  group: string
  /** `ip:port` */
  address: string
  /** Organisation to which the database binds the connection. */
  organisation: string
}
