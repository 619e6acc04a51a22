/** Assigns items (databases) to hosts. Deterministic: hosts that know the same items and hosts agree. */
export interface AssignmentPolicy {
  readonly name: string
  /** Host of each item, in the order of `items`. */
  choose(items: readonly string[], hosts: readonly string[]): string[]
}
