/** Limits of one organisation over all hosts together. */
export interface OrganisationLimits {
  ratePerSecond: number
  burst: number
  /** Regions in which its operations may run; empty: any. */
  homeRegions: readonly string[]
}
