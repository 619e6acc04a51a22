interface Options {
  /** Connections that the database takes from all hosts together. */
  maxConnections: number
  /** Place of this host in the order of the database's owners; 0 is the first. */
  rank: number
  /** Whether all hosts of a better rank have been out of reach for longer than a database keeps their connections. */
  isActing: boolean
}

const FIRST_PART = 0.75
const SECOND_PART = 0.15
/** Enough for one request and one probe of a host that cannot reach the owners. */
const OTHERS = 2

/**
 * Connections that a host may hold to a database. The first owner gets most of them, since scattered connections cannot be
 * reused; the parts of all hosts that may be owners at once stay within the limit.
 */
export function computeConnectionLimit ({ maxConnections, rank, isActing }: Options): number {
  if (rank === 0 || isActing) return Math.max(OTHERS, Math.floor(maxConnections * FIRST_PART))
  return rank === 1 ? Math.max(OTHERS, Math.floor(maxConnections * SECOND_PART)) : OTHERS
}
