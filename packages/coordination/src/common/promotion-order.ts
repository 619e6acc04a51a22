export interface PromotionOrder {
  group: string
  /** Database that takes over. */
  id: string
  host: string
  /** Unique to the holder and rising from holder to holder. */
  fencingToken: number
}
