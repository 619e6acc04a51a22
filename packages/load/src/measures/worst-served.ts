export interface WorstServed {
  organisation: string
  /** Completed statements as a share of those that the organisation offered, or was entitled to when it offered more. */
  share: number
  p99Ms: number
}
