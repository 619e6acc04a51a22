export interface WorstServed {
  organisation: string
  /** Completed statements divided by the offered ones, or by those that rate and burst allow when more were offered. */
  share: number
  p99Ms: number
}
