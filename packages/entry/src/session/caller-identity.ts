/** Who a caller proved to be at log-in. It holds nothing from which the key could be found. */
export interface CallerIdentity {
  organisation: string
  keyName: string
  generation: number
}
