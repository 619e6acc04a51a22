interface Options {
  /** Maximum number of connections that the database accepts from all hosts together. */
  maxConnections: number
  /** Position of this host in the order of the database's owners; 0 is the first. */
  rank: number
  /** Whether all hosts before this one in the order have been unreachable for longer than the database keeps their connections. */
  isActing: boolean
}

const FIRST_OWNER_FRACTION = 0.75
const SECOND_OWNER_FRACTION = 0.15
/** Connections of a host that cannot reach the owners: one for a request and one for a probe. */
const OTHER_HOST_CONNECTIONS = 2

/**
 * Returns the number of connections that a host may hold to a database. The first owner gets most of them, since connections
 * spread over many hosts cannot be reused. The parts of all hosts that may be owners at the same time stay within the limit.
 */
export function computeConnectionLimit ({ maxConnections, rank, isActing }: Options): number {
  if (rank === 0 || isActing) return Math.max(OTHER_HOST_CONNECTIONS, Math.floor(maxConnections * FIRST_OWNER_FRACTION))
  return rank === 1 ? Math.max(OTHER_HOST_CONNECTIONS, Math.floor(maxConnections * SECOND_OWNER_FRACTION)) : OTHER_HOST_CONNECTIONS
}
