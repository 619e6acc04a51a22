import type { Position } from '@tanagerusher/state/position/position'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** What an owner tells of its database. */
export interface OwnerEvents {
  /** The database led when it answered a request that was sent at `sentAt`. */
  handleLeaderProof(record: UpstreamRecord, position: Position, sentAt: number): void
  handleLeaderRefusal(record: UpstreamRecord): void
  /** Waits shortly for a position inside the bound. */
  prepareReadPosition(record: UpstreamRecord, maxStalenessMs: number): Promise<void>
  /** Lowest position at which a read inside the bound may run; undefined when none is known. */
  findReadPosition(record: UpstreamRecord, maxStalenessMs: number, floor: Position | undefined): Position | undefined
}
