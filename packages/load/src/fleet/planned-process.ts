/** A process of the fleet and its settings. */
export interface PlannedProcess {
  name: string
  program: string
  settings: object
}
