export interface UpstreamTarget {
  id: string
  group: string
  /** `ip:port` */
  address: string
  /** The database binds the connection to this organisation. */
  organisation: string
}
