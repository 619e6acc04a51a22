import { setTimeout as wait } from 'node:timers/promises'
import { Fleet } from '@tanagerusher/load/fleet/fleet'
import { tollLedger } from '@tanagerusher/load/workload/toll-ledger'
import pg from 'pg'
import { readProcessUsage } from './read-process-usage.js'

interface ConnectionResult {
  connections: number
  entryResidentBytes: number
  bytesPerConnection: number | null
  /** Processor time of the entry while all connections are idle. */
  idleCpuPercent: number
}

const BATCH_CONNECTIONS = 100
const IDLE_MEASUREMENT_MS = 3000

/** Opens a growing number of idle connections to one entry and measures its memory and idle processor time at each count. */
export async function runConnectionBench ({ counts, seed }: { counts: number[], seed: number }): Promise<ConnectionResult[]> {
  const fleet = await Fleet.start({ workload: tollLedger, seed, groups: 1, hosts: 1, dataCentres: 1, rateFactor: 1000 })
  const clients: pg.Client[] = []
  try {
    const results: ConnectionResult[] = []
    for (const count of counts) {
      while (clients.length < count) clients.push(...await openClients(fleet, Math.min(BATCH_CONNECTIONS, count - clients.length)))
      results.push(await measureIdle(fleet, count, results[0]))
    }
    return results
  } finally {
    await Promise.all(clients.map((client) => client.end().catch(() => {})))
    await fleet.close()
  }
}

async function measureIdle (fleet: Fleet, count: number, first: ConnectionResult | undefined): Promise<ConnectionResult> {
  const processId = fleet.findProcessId('h1-entry') ?? 0
  const before = readProcessUsage(processId).cpuMs
  await wait(IDLE_MEASUREMENT_MS)
  const { cpuMs, residentBytes } = readProcessUsage(processId)
  const perConnection = first === undefined || count === 0 ? null : Math.round((residentBytes - first.entryResidentBytes) / count)
  return { connections: count, entryResidentBytes: residentBytes, bytesPerConnection: perConnection, idleCpuPercent: Math.round((cpuMs - before) / IDLE_MEASUREMENT_MS * 1000) / 10 }
}

async function openClients (fleet: Fleet, count: number): Promise<pg.Client[]> {
  const organisation = fleet.options.workload.organisations[0]?.name ?? ''
  const { password, entry } = fleet.buildIdentity(organisation, 'payments')
  const address = fleet.entries[0]
  return await Promise.all(Array.from({ length: count }, async () => {
    const client = new pg.Client({ host: address?.address, port: address?.port, user: organisation, password, database: entry })
    client.on('error', () => {})
    await client.connect()
    return client
  }))
}
