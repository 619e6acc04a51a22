export interface TraceResult {
  name: string
  /** One line for each stated outcome. */
  outcomes: Array<{ holds: boolean, text: string }>
}
