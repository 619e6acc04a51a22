import type { StoredObject } from './stored-object.js'

export type StoredChange =
  | { type: 'put', object: StoredObject }
  | { type: 'delete', kind: string, name: string, version: number }

/**
 * The platform's object API. Every call counts against a budget. A call that fails may have taken effect: its answer can
 * be lost. Rejects with `store-unavailable` or `version-conflict`.
 */
export interface PlatformStore {
  read(kind: string, name: string): Promise<StoredObject | null>
  list(kinds: string[]): Promise<{ version: number, objects: StoredObject[] }>
  /** Writes when the object's version is still `expectedVersion`; 0 means that it must not exist. */
  write(kind: string, name: string, value: unknown, expectedVersion: number): Promise<StoredObject>
  remove(kind: string, name: string, expectedVersion: number): Promise<void>
  /** Waits for changes after `afterVersion`; an empty list after `timeoutMs`. */
  watch(kinds: string[], afterVersion: number, timeoutMs: number): Promise<{ version: number, changes: StoredChange[] }>
  /** The platform's late list of hosts. A hint only. */
  listHosts(): Promise<Array<{ host: string, address: string, port: number, leaving: boolean }>>
}
