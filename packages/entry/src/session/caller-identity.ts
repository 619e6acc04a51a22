/** Identity that a caller authenticated at log-in. It contains nothing from which the key could be derived. */
export interface CallerIdentity {
  organisation: string
  keyName: string
  generation: number
}
