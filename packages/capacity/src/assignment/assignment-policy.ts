/** Assigns items (databases) to hosts. Deterministic: the same items and hosts result in the same assignment at every host. */
export interface AssignmentPolicy {
  readonly name: string
  /** Returns the host of each item, in the order of `items`. */
  choose(items: readonly string[], hosts: readonly string[]): string[]
}
