import type { Workload } from '../workload/workload.js'

/** Options of a test fleet: its workload, its size and its timing. */
export interface FleetOptions {
  workload: Workload
  seed: number
  groups: number
  hosts: number
  dataCentres?: number
  /** Time for which a statement occupies its slot at a database. */
  serviceTimeMs?: number
  /** Multiplies the rates and bursts of all organisations. */
  rateFactor?: number
  /** Whether entries may serve reads from replicas. */
  readsOnReplicas?: boolean
  /** Skips the first call to the administration APIs at the start, so that it happens under load. */
  coldAdministration?: boolean
}
