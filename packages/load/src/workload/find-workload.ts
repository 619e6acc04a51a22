import { orderDesk } from './order-desk.js'
import { tollLedger } from './toll-ledger.js'
import type { Workload } from './workload.js'

/** Finds the workload with the given name, as on the command line or in a trace. */
export function findWorkload (name: string): Workload | undefined {
  return [tollLedger, orderDesk].find((workload) => workload.name === name)
}
