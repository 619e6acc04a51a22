/** Decides whether a request at a host is within the rate and burst of its organisation, counted over the whole fleet. */
export interface AdmissionPolicy {
  request(host: number, decide: (admitted: boolean) => void): void
  /** Number of calls to the store so far. */
  readonly storeCalls: number
  setStoreAvailable(available: boolean): void
  loseHost(host: number): void
}
