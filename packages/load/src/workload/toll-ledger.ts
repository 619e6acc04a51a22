import type { Workload } from './workload.js'

/** Toll ledger of a market: payments at the gate are critical, reports can be deferred and may read stale data. */
export const tollLedger: Workload = {
  name: 'toll-ledger',
  regions: ['tartu', 'tallinn', 'parnu'],
  groups: ['toll-tartu', 'toll-tallinn', 'toll-parnu'],
  slots: 3,
  connections: 20,
  connectMs: 10,
  latencyMs: { dataCentre: 0.5, region: 20 },
  organisations: ['turg', 'sadam', 'raekoda', 'anne', 'kesk', 'ranna', 'lille', 'vana'].map((name, index) => (
    { name, rate: index < 2 ? 400 : 100, burst: index < 2 ? 200 : 50, weight: index < 2 ? 4 : 1 }
  )),
  classes: [
    { name: 'payments', table: 'toll_payment', valueColumn: 'amount', entryClass: 'critical', readShare: 0.3, transactionShare: 0.15, idempotentShare: 0.8, weight: 3 },
    { name: 'pitches', table: 'pitch_log', valueColumn: 'pitch', entryClass: 'interactive', readShare: 0.5, transactionShare: 0.1, idempotentShare: 0.5, weight: 2 },
    { name: 'reports', table: 'toll_payment', valueColumn: 'amount', entryClass: 'deferred', maximumAgeMs: 1000, readShare: 1, transactionShare: 0, idempotentShare: 0, weight: 1 }
  ]
}
