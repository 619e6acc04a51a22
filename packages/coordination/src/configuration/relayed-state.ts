/** State that a host reports of its copy of one kind of objects. */
export interface RelayedState {
  /** Version of the store to which the copy corresponds; the copy may also match later versions. */
  revision: number
  /** Equal copies have equal digests. */
  digest: number
  /** Time since the request was sent whose response confirmed that the copy is current. */
  ageMs: number
  /** Time since the store became reachable again for the host; 0 while the store is unreachable. */
  returnAgeMs: number
}
