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

/** Store of objects by kind and name, with conditional writes and watches. */
export interface ObjectStore {
  /** `era` increases when the store is restored from an older copy of itself. */
  list(kind: string): Promise<StoreResult<{ era: number, revision: number, objects: StoreObject[] }>>
  /** Waits up to `waitMs` for changes after `revision`. */
  watch(kind: string, revision: number, waitMs: number): Promise<StoreResult<{ era: number, revision: number, changes: StoreChange[] }>>
  create(kind: string, name: string, value: unknown): Promise<StoreResult<StoreObject>>
  /** When `revision` is given, replaces the object only if it still has this revision. */
  replace(kind: string, name: string, value: unknown, revision?: number): Promise<StoreResult<StoreObject>>
  remove(kind: string, name: string, revision: number): Promise<StoreResult<null>>
  close(): void
}
