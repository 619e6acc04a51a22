import type { StoreChange } from './store-change.js'
import type { StoreObject } from './store-object.js'

/** Reason why a store call returned no result. */
export type StoreFailure =
  | { type: 'conflict' }
  | { type: 'not-found' }
  /** The store no longer has the history that the watch requested; the caller must list again. */
  | { type: 'history-gone' }
  /** The store rejected the call, which had no effect. */
  | { type: 'rejected', reason: string }
  /** No response was received. A write may have taken effect, or may take effect later if its condition still holds. */
  | { type: 'no-answer', reason: string }

export type StoreResult<Value> = { type: 'ok', value: Value } | StoreFailure

/**
 * Store of objects by kind and name, with conditional writes and watches. Its revisions are those of `orderedRevision`, so they never
 * go back, also when the store is restored from a copy.
 */
export interface ObjectStore {
  list(kind: string): Promise<StoreResult<{ revision: number, objects: StoreObject[] }>>
  /** Waits up to `waitMs` for changes after `revision`. Fails with `history-gone` when `revision` is of an earlier era than the store. */
  watch(kind: string, revision: number, waitMs: number): Promise<StoreResult<{ revision: number, changes: StoreChange[] }>>
  create(kind: string, name: string, value: unknown): Promise<StoreResult<StoreObject>>
  /** When `revision` is given, replaces the object only if it still has this revision. A revision of an earlier era is a conflict. */
  replace(kind: string, name: string, value: unknown, revision?: number): Promise<StoreResult<StoreObject>>
  remove(kind: string, name: string, revision: number): Promise<StoreResult<null>>
  close(): void
}
