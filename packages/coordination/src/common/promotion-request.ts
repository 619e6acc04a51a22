export interface PromotionRequest {
  group: string
  /** Database to promote. */
  id: string
  host: string
  /** Unique to the claim holder and higher for each later holder. */
  fencingToken: number
}
