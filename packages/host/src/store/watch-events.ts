import type { StoreObject } from '@tanagerusher/coordination/common/store-object'

/** What becomes known of one kind of objects, from the store or from another host. */
export interface WatchEvents {
  /** `removed` are the names that are gone since the last call. */
  handleChanged(changed: readonly StoreObject[], removed: readonly string[], source: string): void
  /** What was handled so far was complete at `provenAt`, as the answer to a question of `askedAt` shows. */
  handleConfirmed?(provenAt: number, askedAt: number): void
}
