import type { StoreObject } from '@tanagerusher/coordination/common/store-object'

/** Handlers for updates of one kind of objects, from the store or from another host. */
export interface WatchEvents {
  /** `removed` are the names of objects that were removed since the last call. `source` is `store` or the name of a host. */
  handleChanged(changed: readonly StoreObject[], removed: readonly string[], source: string): void
  /** The store was restored from a copy, so that recent writes of this host may be lost. Called after the changes were handled. */
  handleRestored?(): void
  /** The updates handled so far were complete at `confirmedAt`, as confirmed by the response to a request sent at `requestedAt`. */
  handleConfirmed?(confirmedAt: number, requestedAt: number): void
}
