import type { PlannedProcess } from './planned-process.js'

interface PlannedDatabase {
  name: string
  port: number
}

/** All processes that a test fleet starts, with their addresses. */
export interface FleetPlan {
  store: PlannedProcess & { url: string, controlUrl: string }
  groups: Array<PlannedProcess & { databases: PlannedDatabase[], controlUrl: string }>
  hosts: Array<{ name: string, processes: PlannedProcess[], entryPort: number, administrationUrl: string, metricsUrl: string }>
  passwords: Record<string, string>
}
