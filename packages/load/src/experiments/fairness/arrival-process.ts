export interface ArrivalProcess {
  organisation: string
  perSecond: number
  meanServiceMs: number
}
