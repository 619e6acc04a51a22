import type { Fleet } from '../fleet/fleet.js'
import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import { readLedger } from './read-ledger.js'

/** Builds the history that the checks need, from the operations, the rows at the databases, the catalogue and the recorded events. */
export async function buildHistory (fleet: Fleet, operations: Operation[], events: Partial<Pick<History, 'withdrawals' | 'faults'>> = {}): Promise<History> {
  const { workload, rateFactor = 1 } = fleet.options
  const organisations = Object.fromEntries(workload.organisations.map(({ name, rate, burst }) => [name, { rate: rate * rateFactor, burst: burst * rateFactor }]))
  const ownedEntries = workload.organisations.flatMap(({ name }) => workload.classes.map((callerClass) => [`${name}-${callerClass.name}`, { owner: name }]))
  const entries = { ...Object.fromEntries(ownedEntries), open: { owner: null } }
  return { operations, ledger: await readLedger(fleet), organisations, entries, withdrawals: events.withdrawals ?? [], faults: events.faults ?? [] }
}
