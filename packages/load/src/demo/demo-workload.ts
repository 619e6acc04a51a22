import { orderDesk } from '../workload/order-desk.js'
import { tollLedger } from '../workload/toll-ledger.js'
import type { Workload } from '../workload/workload.js'

/** Both deployments on one small fleet: payments and pitch logs in one group, orders and stock checks in the other. */
export const demoWorkload: Workload = {
  ...tollLedger,
  name: 'demo',
  groups: ['toll-ledger', 'order-desk'],
  classes: [...tollLedger.classes.slice(0, 2), ...orderDesk.classes.slice(0, 2)]
}
