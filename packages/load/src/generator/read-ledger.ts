import type { Fleet } from '../fleet/fleet.js'
import type { History } from '../history/history.js'

/** Reads all rows of the workload's tables directly at the primary of each group, bypassing the proxy. */
export async function readLedger (fleet: Fleet): Promise<History['ledger']> {
  const tables = [...new Set(fleet.options.workload.classes.map(({ table }) => table))]
  const rows: History['ledger'] = []
  for (const { name: group } of fleet.plan.groups) {
    const primary = await fleet.findPrimary(group)
    for (const table of tables) {
      const found = await fleet.queryDatabase(primary, `SELECT id, session FROM ${table}`)
      rows.push(...found.map(({ id, session }) => ({ id: String(id), session: String(session), group })))
    }
  }
  return rows
}
