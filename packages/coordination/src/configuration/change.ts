/** A write: a new value, or null for removal. `expectedVersion` 0 means that the object must not exist. */
export interface Change {
  kind: string
  name: string
  value: Record<string, unknown> | null
  expectedVersion: number
  /** Unique; stored in the value as `changeId`, so that the writer recognises its own change after a lost answer. */
  changeId: string
}
