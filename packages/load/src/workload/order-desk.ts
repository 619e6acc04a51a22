import type { Workload } from './workload.js'

/** Wholesale order desk: orders are critical, stock checks need read-your-writes, entries of the hide log can be deferred. */
export const orderDesk: Workload = {
  name: 'order-desk',
  regions: ['norte', 'centro', 'sul'],
  groups: ['sales-norte', 'sales-centro', 'sales-sul'],
  slots: 5,
  connections: 50,
  connectMs: 30,
  latencyMs: { dataCentre: 0.5, region: 10 },
  organisations: ['alves', 'brito', 'castro', 'dias', 'esteves', 'faria', 'gomes', 'horta'].map((name, index) => (
    { name, rate: index < 2 ? 400 : 100, burst: index < 2 ? 200 : 50, weight: index < 2 ? 4 : 1 }
  )),
  classes: [
    { name: 'orders', table: 'blank_order', valueColumn: 'quantity', entryClass: 'critical', readShare: 0.2, transactionShare: 0.3, idempotentShare: 0.8, weight: 2 },
    { name: 'stock', table: 'stock_check', valueColumn: 'quantity', entryClass: 'interactive', readShare: 0.85, transactionShare: 0, idempotentShare: 0.5, weight: 4 },
    { name: 'hides', table: 'hide_log', valueColumn: 'blanks', entryClass: 'deferred', readShare: 0.1, transactionShare: 0, idempotentShare: 1, weight: 1 }
  ]
}
