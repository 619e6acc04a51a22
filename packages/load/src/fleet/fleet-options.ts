import type { Workload } from '../workload/workload.js'

/** What a test fleet consists of. */
export interface FleetOptions {
  workload: Workload
  seed: number
  groups: number
  hosts: number
  dataCentres?: number
  /** Time that a statement occupies its slot at a database. */
  serviceTimeMs?: number
  /** Factor on the rates and bursts of all organisations. */
  rateFactor?: number
  /** Whether entries may serve reads from replicas. */
  readsOnReplicas?: boolean
  /** Leaves the administration APIs uncalled, so that the first call happens under load. */
  coldAdministration?: boolean
}
