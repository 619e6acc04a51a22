import { Fleet } from '../fleet/fleet.js'
import { computePercentile } from '../measures/compute-percentile.js'
import { tollLedger } from '../workload/toll-ledger.js'
import pg from 'pg'

interface BenchRow {
  path: 'direct' | 'proxy'
  statementsPerSecond: number
  p50Ms: number
  p99Ms: number
}

interface RunBenchOptions {
  seed: number
  connections: number
  durationMs: number
  rounds: number
}

const RATE_FACTOR = 1000
/** The pool keeps warm connections while the direct clients of a round have theirs. */
const CONNECTIONS_FACTOR = 4
const STATEMENT = 'SELECT 1 AS one'

/** Statements a second and latency through the proxy beside a direct connection to the stand-in, in alternating rounds. */
export async function runBench ({ seed, connections, durationMs, rounds }: RunBenchOptions): Promise<BenchRow[]> {
  const workload = { ...tollLedger, slots: connections, connections: CONNECTIONS_FACTOR * connections, connectMs: 0 }
  const fleet = await Fleet.start({ workload, seed, groups: 1, hosts: 1, serviceTimeMs: 0, rateFactor: RATE_FACTOR })
  try {
    const [organisation] = tollLedger.organisations
    const { password, entry } = fleet.buildIdentity(organisation?.name ?? '', 'payments')
    const primary = await fleet.findPrimary(fleet.plan.groups[0]?.name ?? '')
    const port = fleet.plan.groups.flatMap(({ databases }) => databases).find(({ name }) => name === primary)?.port
    const targets = {
      direct: { host: '127.0.0.1', port, user: 'proxy', password: 'proxy', database: 'ledger' },
      proxy: { host: '127.0.0.1', port: fleet.entries[0]?.port, user: organisation?.name, password, database: entry }
    }
    const durations: Record<BenchRow['path'], number[]> = { direct: [], proxy: [] }
    for (let round = 0; round < rounds; round++) {
      for (const path of ['direct', 'proxy'] as const) durations[path].push(...await runRound(targets[path], connections, durationMs))
    }
    return (['direct', 'proxy'] as const).map((path) => ({
      path,
      statementsPerSecond: durations[path].length / (rounds * durationMs / 1000),
      p50Ms: computePercentile(durations[path], 50),
      p99Ms: computePercentile(durations[path], 99)
    }))
  } finally {
    await fleet.close()
  }
}

/** Each connection sends its next statement after the last answer. */
async function runRound (target: pg.ClientConfig, connections: number, durationMs: number): Promise<number[]> {
  const clients = Array.from({ length: connections }, () => new pg.Client(target))
  await Promise.all(clients.map((client) => client.connect()))
  const durations: number[] = []
  const endMs = performance.now() + durationMs
  await Promise.all(clients.map(async (client) => {
    for (let startMs = performance.now(); startMs < endMs; startMs = performance.now()) {
      await client.query(STATEMENT)
      durations.push(performance.now() - startMs)
    }
    await client.end()
  }))
  return durations
}
