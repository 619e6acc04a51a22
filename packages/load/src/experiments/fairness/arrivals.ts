export interface Arrivals {
  organisation: string
  perSecond: number
  meanServiceMs: number
}
