/** State that a host reports of its copy of one kind of objects. */
export interface RelayedState {
  /** Era and counter of the store's revision to which the copy corresponds; the copy may also match later ones. -1 before the first list. */
  era: number
  revision: number
  /** Equal copies of an era have equal digests. */
  digest: number
  /** Time since the request was sent whose response confirmed that the copy is current. */
  ageMs: number
  /** Time since the store became reachable again for the host; 0 while the store is unreachable. */
  returnAgeMs: number
}
