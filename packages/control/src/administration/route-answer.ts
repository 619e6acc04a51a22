export interface RouteAnswer {
  status?: number
  /** Entity tag. */
  version?: number
  body: unknown
}
