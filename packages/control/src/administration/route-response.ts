export interface RouteResponse {
  status?: number
  /** Sent as the entity tag. */
  version?: number
  body: unknown
}
