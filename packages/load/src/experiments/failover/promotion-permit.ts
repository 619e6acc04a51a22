/** Decides whether a host may promote now. The product needs no permit; the baseline needs the lease in the store. */
export interface PromotionPermit {
  mayPromote(): boolean
}
