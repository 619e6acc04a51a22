import type { Position } from '@tanagerusher/state/position/position'

export interface ReadRequest {
  /** Lowest position that the read must see; null where only `maximumAgeMs` applies. */
  floor: Position | null
  maximumAgeMs: number | undefined
  /** Time at which the read was first routed. Replicas that are behind are not chosen later than `catchUpWaitMs` after it. */
  routedAt: number
  /** Databases at which this read has failed already. */
  excluded: ReadonlySet<string>
}
