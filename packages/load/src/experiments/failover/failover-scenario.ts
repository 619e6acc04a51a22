export interface FailoverScenario {
  name: string
  fault: 'crash' | 'cut-off'
  storeOutage: boolean
  /** Whether the host that would promote first fails together with the primary. */
  loseFirstHost: boolean
}
