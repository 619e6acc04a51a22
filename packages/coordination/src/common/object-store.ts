import type { StoreChange } from './store-change.js'
import type { StoreObject } from './store-object.js'

/** Why a call of the store brought nothing. */
export type StoreFailure =
  | { type: 'conflict' }
  | { type: 'not-found' }
  /** The history that a watch asked for is gone; list again. */
  | { type: 'history-gone' }
  /** Nothing was done. */
  | { type: 'rejected', reason: string }
  /** A write may have been done, or may be done later if its condition still holds. */
  | { type: 'no-answer', reason: string }

export type StoreResult<Value> = { type: 'ok', value: Value } | StoreFailure

/** Objects by kind and name, with conditional writes and watches. */
export interface ObjectStore {
  list(kind: string): Promise<StoreResult<{ revision: number, objects: StoreObject[] }>>
  /** Waits up to `waitMs` for changes after `revision`. */
  watch(kind: string, revision: number, waitMs: number): Promise<StoreResult<{ revision: number, changes: StoreChange[] }>>
  create(kind: string, name: string, value: unknown): Promise<StoreResult<StoreObject>>
  /** With a revision, only if the object is still at it. */
  replace(kind: string, name: string, value: unknown, revision?: number): Promise<StoreResult<StoreObject>>
  remove(kind: string, name: string, revision: number): Promise<StoreResult<null>>
  close(): void
}
