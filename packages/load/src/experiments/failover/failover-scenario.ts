export interface FailoverScenario {
  name: string
  fault: 'crash' | 'cut-off'
  storeOutage: boolean
  /** The host that would act first is lost together with the primary. */
  loseFirstHost: boolean
}
