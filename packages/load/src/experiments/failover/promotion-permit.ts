/** Decides whether a host may start a promotion. The product always may; a baseline needs a lease in the store. */
export interface PromotionPermit {
  isPromotionAllowed(): boolean
}
