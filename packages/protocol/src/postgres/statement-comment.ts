/** Fields of a sqlcommenter comment that the proxy understands. */
export interface StatementComment {
  traceparent?: string
  idempotencyKey?: string
  session?: string
}
