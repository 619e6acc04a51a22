import type { Position } from '@tanagerusher/state/position/position'

export interface ReadRequest {
  /** Lowest position that the read must see; null where only `maximumAgeMs` applies. */
  floor: Position | null
  maximumAgeMs: number | undefined
  /** When the read was first routed; replicas that are behind are not tried once `catchUpWaitMs` have passed. */
  routedAt: number
  /** Databases that failed this read already. */
  excluded: ReadonlySet<string>
}
