/** A conditional write of a new value, or a removal when `value` is null. `expectedVersion` 0 means that the object must not exist. */
export interface Change {
  kind: string
  name: string
  value: Record<string, unknown> | null
  expectedVersion: number
  /** Unique and stored in the value as `changeId`, so that the writer can identify its own change after a lost response. */
  changeId: string
}
