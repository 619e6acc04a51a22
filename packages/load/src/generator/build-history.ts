import type { Fleet } from '../fleet/fleet.js'
import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import { auditLedger } from './audit-ledger.js'

/** Joins what callers saw with the audit of the databases and the catalogue. */
export async function buildHistory (fleet: Fleet, operations: Operation[], events: Partial<Pick<History, 'withdrawals' | 'faults'>> = {}): Promise<History> {
  const { workload, rateFactor = 1 } = fleet.options
  const organisations = Object.fromEntries(workload.organisations.map(({ name, rate, burst }) => [name, { rate: rate * rateFactor, burst: burst * rateFactor }]))
  const owned = workload.organisations.flatMap(({ name }) => workload.classes.map((callerClass) => [`${name}-${callerClass.name}`, { owner: name }]))
  const entries = { ...Object.fromEntries(owned), open: { owner: null } }
  return { operations, ledger: await auditLedger(fleet), organisations, entries, withdrawals: events.withdrawals ?? [], faults: events.faults ?? [] }
}
