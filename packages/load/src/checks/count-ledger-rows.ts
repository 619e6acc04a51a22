import type { History } from '../history/history.js'

/** Counts the rows that the databases hold for each identifier. */
export function countLedgerRows ({ ledger }: History): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { id } of ledger) counts.set(id, (counts.get(id) ?? 0) + 1)
  return counts
}
