import { Fleet } from '@tanagerusher/load/fleet/fleet'
import { tollLedger } from '@tanagerusher/load/workload/toll-ledger'
import type pg from 'pg'
import type { ClosedLoopResult } from './closed-loop-result.js'
import { runClosedLoop } from './run-closed-loop.js'
import { readProcessUsage } from './read-process-usage.js'

interface RunOptions {
  clients: number
  seconds: number
  rounds: number
  seed: number
}

interface PathResult {
  path: 'direct' | 'proxy'
  work: 'read' | 'write'
  perSecond: number
  failures: number
  p50Us: number
  p99Us: number
  /** Processor time of each process per statement, in microseconds. */
  cpuUsPerStatement: Record<string, number>
}

const RATE_FACTOR = 10_000

/** Compares statements over a direct connection to the stand-in with statements through one host, in alternating rounds. */
export async function runPathBench ({ clients, seconds, rounds, seed }: RunOptions): Promise<PathResult[]> {
  const workload = { ...tollLedger, slots: 32, connections: 160, connectMs: 0, latencyMs: { dataCentre: 0, region: 0 } }
  const fleet = await Fleet.start({ workload, seed, groups: 1, hosts: 1, dataCentres: 1, serviceTimeMs: 0, rateFactor: RATE_FACTOR })
  try {
    const results: PathResult[] = []
    for (let round = 0; round < rounds; round++) {
      for (const work of ['read', 'write'] as const) {
        for (const path of ['direct', 'proxy'] as const) results.push(await measurePath({ fleet, path, work, clients, seconds, round }))
      }
    }
    return results
  } finally {
    await fleet.close()
  }
}

interface MeasureOptions {
  fleet: Fleet
  path: PathResult['path']
  work: PathResult['work']
  clients: number
  seconds: number
  round: number
}

async function measurePath ({ fleet, path, work, clients, seconds, round }: MeasureOptions): Promise<PathResult> {
  const processes = ['h1-entry', 'h1-pool', fleet.plan.groups[0]?.name ?? ''].flatMap((name) => {
    const id = fleet.findProcessId(name)
    return id === undefined ? [] : [{ name, id }]
  })
  const before = processes.map(({ id }) => readProcessUsage(id).cpuMs)
  const result = await runClosedLoop({ connection: buildConnection(fleet, path), clients, seconds, statement: (sequence) => buildStatement(work, path, round, sequence) })
  const statementCount = result.perSecond * seconds
  const cpuUsByProcess = processes.map(({ name, id }, index) => [name, Math.round((readProcessUsage(id).cpuMs - (before[index] ?? 0)) * 1000 / statementCount)])
  return { path, work, ...computeSummary(result), cpuUsPerStatement: Object.fromEntries(cpuUsByProcess) }
}

function computeSummary ({ perSecond, failures, histogram }: ClosedLoopResult): Pick<PathResult, 'perSecond' | 'failures' | 'p50Us' | 'p99Us'> {
  return { perSecond: Math.round(perSecond), failures, p50Us: histogram.getValueAtPercentile(50), p99Us: histogram.getValueAtPercentile(99) }
}

function buildStatement (work: PathResult['work'], path: string, round: number, sequence: number): string {
  if (work === 'read') return "SELECT id, amount FROM toll_payment WHERE session = 'none'"
  return `INSERT INTO toll_payment (id, session, amount) VALUES ('${path}-${round}-${sequence}', 'bench', 1)`
}

function buildConnection (fleet: Fleet, path: PathResult['path']): pg.ClientConfig {
  const organisation = fleet.options.workload.organisations[0]?.name ?? ''
  const { password, entry } = fleet.buildIdentity(organisation, 'payments')
  const [entryAddress] = fleet.entries
  if (path === 'proxy') return { host: entryAddress?.address, port: entryAddress?.port, user: organisation, password, database: entry }
  return { host: '127.0.0.1', port: fleet.plan.groups[0]?.databases[0]?.port, user: 'proxy', password: 'proxy', database: 'ledger' }
}
