import type { StoredObject } from './stored-object.js'

export type StoredChange =
  | { type: 'put', object: StoredObject }
  | { type: 'delete', kind: string, name: string, version: number }

/**
 * The platform's object API. Every call counts against a call budget. A failed call may have taken effect, since only its
 * response may have been lost. Rejects with `store-unavailable` or `version-conflict`.
 */
export interface PlatformStore {
  read(kind: string, name: string): Promise<StoredObject | null>
  list(kinds: string[]): Promise<{ version: number, objects: StoredObject[] }>
  /** Writes only if the object's version is still `expectedVersion`; 0 means that the object must not exist. */
  write(kind: string, name: string, value: unknown, expectedVersion: number): Promise<StoredObject>
  remove(kind: string, name: string, expectedVersion: number): Promise<void>
  /** Waits for changes after `afterVersion`; returns an empty list after `timeoutMs`. */
  watch(kinds: string[], afterVersion: number, timeoutMs: number): Promise<{ version: number, changes: StoredChange[] }>
  /** Returns the platform's list of hosts. It may be out of date and serves only as a hint. */
  listHosts(): Promise<Array<{ host: string, address: string, port: number, leaving: boolean }>>
}
