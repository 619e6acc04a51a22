import { setTimeout as wait } from 'node:timers/promises'
import { Fleet } from '@tanagerusher/load/fleet/fleet'
import { tollLedger } from '@tanagerusher/load/workload/toll-ledger'
import { readProcessUsage } from './read-process-usage.js'

interface GroupResult {
  groups: number
  /** Processor time of the pool, in percent of one core. */
  cpuPercent: number
  residentBytes: number
  writtenBytesPerSecond: number
}

const GROUP_COUNTS = [1, 2, 4, 8]
const MEASUREMENT_MS = 8000

/** Runs one host with a growing number of idle groups and measures the resource usage of its pool process. */
export async function runGroupBench ({ seed }: { seed: number }): Promise<GroupResult[]> {
  const results: GroupResult[] = []
  for (const groups of GROUP_COUNTS) results.push(await measureGroups(groups, seed))
  return results
}

async function measureGroups (groups: number, seed: number): Promise<GroupResult> {
  const workload = { ...tollLedger, groups: Array.from({ length: groups }, (_, index) => `group-${index + 1}`) }
  const fleet = await Fleet.start({ workload, seed, groups, hosts: 1, dataCentres: 1 })
  try {
    const processId = fleet.findProcessId('h1-pool') ?? 0
    const before = readProcessUsage(processId)
    await wait(MEASUREMENT_MS)
    const after = readProcessUsage(processId)
    return {
      groups,
      cpuPercent: Math.round((after.cpuMs - before.cpuMs) / MEASUREMENT_MS * 10_000) / 100,
      residentBytes: after.residentBytes,
      writtenBytesPerSecond: Math.round((after.writtenBytes - before.writtenBytes) * 1000 / MEASUREMENT_MS)
    }
  } finally {
    await fleet.close()
  }
}
