/** Candidate owner of a database's connections, with the inputs of the choice between the candidates. */
export interface OwnerDescription {
  host: string
  dataCentre: string
  region: string
  /** Time in ms since the host became unreachable. */
  downMs: number
  /** Reason why the operation would not be sent to it; undefined for the chosen host. */
  excludedBy: string | undefined
}
