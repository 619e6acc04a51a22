import type { StoreObject } from '@tanagerusher/coordination/common/store-object'

export interface WatchEvents {
  /** All objects of the kind, after a list. */
  handleList(objects: readonly StoreObject[]): void
  handleChange(object: StoreObject, isRemoved: boolean): void
  /** What was handled so far was complete when a request was sent at `sentAt`. */
  handleConfirmed(sentAt: number): void
}
