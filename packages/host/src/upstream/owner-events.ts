import type { Position } from '@tanagerusher/state/position/position'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** Events that the owner of a database reports, and the read positions that it needs. */
export interface OwnerEvents {
  /** The database was confirmed as primary by its response to a request that was sent at `sentAt`. */
  handleLeaderConfirmation(record: UpstreamRecord, position: Position, sentAt: number): void
  handleLeaderRefusal(record: UpstreamRecord): void
  /** Waits briefly until a position within the staleness bound is known. */
  waitForReadPosition(record: UpstreamRecord, maxStalenessMs: number): Promise<void>
  /** Returns the lowest position at which a read within the staleness bound may run; undefined when none is known. */
  findReadPosition(record: UpstreamRecord, maxStalenessMs: number, floor: Position | undefined): Position | undefined
  /** Reason for which all work for the database is refused at present, because its data centre is evacuated; otherwise undefined. */
  findClosure(record: UpstreamRecord): string | undefined
  /** Requests per second that this host may send to the database at present; undefined unless it is cold. */
  findWarmupRate(record: UpstreamRecord): number | undefined
  /** The database responded again after several failures. */
  handleRecovery(record: UpstreamRecord): void
  /** An operation was refused because of the evacuation of the database's data centre. */
  handleEvacuationRefusal(record: UpstreamRecord): void
}
