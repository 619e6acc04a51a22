import type { CallerClass } from './caller-class.js'

/** A deployment's callers and limits, as section 1.1 of the design describes them. */
export interface Workload {
  name: string
  regions: string[]
  groups: string[]
  slots: number
  connections: number
  /** Time that a new connection to a database takes. */
  connectMs: number
  latencyMs: { dataCentre: number, region: number }
  organisations: Array<{ name: string, rate: number, burst: number, weight: number }>
  classes: CallerClass[]
}
