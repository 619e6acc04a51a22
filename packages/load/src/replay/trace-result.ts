export interface TraceResult {
  name: string
  /** One element for each evaluated expectation, each failed event and each reported violation. */
  outcomes: Array<{ holds: boolean, text: string }>
}
