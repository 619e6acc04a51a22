interface Options {
  /** Place in the order of the database's owners; negative when the host is not among them. */
  rank: number
  /** Whether all owners before this one have been unreachable for long enough. */
  isActing: boolean
}

const FIRST_OWNER_SHARE = 0.7
/** The first owner may be unreachable for some hosts and reachable for others, so the second one sends at the same time. */
const SECOND_OWNER_SHARE = 0.3
const ACTING_OWNER_SHARE = 0.3

/** Returns the part of a cold database's requests per second that one owner of its connections may send. */
export function computeWarmupShare ({ rank, isActing }: Options): number {
  if (rank === 0) return FIRST_OWNER_SHARE
  if (rank === 1) return SECOND_OWNER_SHARE
  return rank > 1 && isActing ? ACTING_OWNER_SHARE : 0
}
