/** What a host says of its copy of one kind of objects. */
export interface RelayedState {
  /** Version of the store that the copy corresponds to, at least. */
  revision: number
  /** Same for equal copies. */
  digest: number
  /** Time since a request that proved the copy to be the newest was sent. */
  ageMs: number
  /** Time since the host regained a store that it had lost; 0 while it is lost. */
  returnAgeMs: number
}
