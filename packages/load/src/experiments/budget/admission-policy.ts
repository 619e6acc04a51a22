/** Decides whether a request at a host is inside its organisation's rate and burst over the whole fleet. */
export interface AdmissionPolicy {
  request(host: number, decide: (admitted: boolean) => void): void
  /** Calls to the store so far. */
  readonly storeCalls: number
  setStoreAvailable(available: boolean): void
  loseHost(host: number): void
}
