import type { CallerClass } from './caller-class.js'

/** Organisations, callers and limits of a deployment, as described in section 1.1 of the design. */
export interface Workload {
  name: string
  regions: string[]
  groups: string[]
  slots: number
  connections: number
  /** Time to open a new connection to a database. */
  connectMs: number
  latencyMs: { dataCentre: number, region: number }
  organisations: Array<{ name: string, rate: number, burst: number, weight: number }>
  classes: CallerClass[]
}
