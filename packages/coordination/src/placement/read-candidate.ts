/** Database for a read that a replica may serve, with the inputs of the choice. */
export interface ReadCandidate {
  id: string
  isLeader: boolean
  isLeaving: boolean
  /** Round-trip time to the owner of the database's connections. */
  distanceMs: number
  /** Expected queueing time of a statement at the owner. */
  waitMs: number
  /** Expected time from sending a statement to its response; undefined when the owner did not report it. */
  serviceMs?: number | undefined
  /** Weight of `serviceMs` by its age, from 0 to 1. */
  serviceWeight?: number
  /** Whether the replica recently lacked the position that a read needed (see `LagTracker`). */
  isBehind: boolean
  /** Whether the database serves reads only in place of all others: it is cold, or it is the primary in an evacuated data centre. */
  isAvoided?: boolean
}
