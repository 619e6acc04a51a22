import { orderDesk } from './order-desk.js'
import { tollLedger } from './toll-ledger.js'
import type { Workload } from './workload.js'

/** Workload of a name that the command line gives. */
export function findWorkload (name: string): Workload | undefined {
  return [tollLedger, orderDesk].find((workload) => workload.name === name)
}
