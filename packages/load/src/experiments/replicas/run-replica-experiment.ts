import { Fleet } from '../../fleet/fleet.js'
import { buildCallers } from '../../generator/build-callers.js'
import { LoadGenerator } from '../../generator/load-generator.js'
import type { Operation } from '../../history/operation.js'
import { computePercentile } from '../../measures/compute-percentile.js'
import { measureReplicaShare } from '../../measures/measure-replica-share.js'
import type { ExperimentResult } from '../../report/experiment-result.js'
import { orderDesk } from '../../workload/order-desk.js'

const DURATION_MS = 6000
/** Excluded from the figures, because entries receive the replicas' positions in the first seconds of a new fleet. */
const WARM_UP_MS = 2000
const SHARE_TARGET = 0.95
const SESSIONS = 24
const SERVICE_MS = 4
const LOADS = [100, 300, 600]
const MECHANISMS = [
  { name: 'replicas at the session floor', role: 'product' as const, readsOnReplicas: true },
  { name: 'all to the primary', role: 'baseline' as const, readsOnReplicas: false }
]

/** Compares the share and latency of reads served by replicas with a catalogue that routes every read to the primary. */
export async function runReplicaExperiment ({ seed, command }: { seed: number, command: string }): Promise<ExperimentResult> {
  const rows: ExperimentResult['rows'] = []
  for (const mechanism of MECHANISMS) rows.push(...await measureMechanism(mechanism, seed))
  const shares = rows.filter(({ role }) => role === 'product').map(({ figures }) => figures['reads by replicas'] ?? 0)
  const share = Math.min(...shares)
  return {
    experiment: 'replica-reads',
    summary: 'Share of reads that replicas serve to sessions which also write and roam, and the latency of reads.',
    method: `Real processes: one group of three databases with a service time of ${SERVICE_MS} ms, three hosts, stock checks of the order desk by ${SESSIONS} sessions in an open loop of ${DURATION_MS / 1000} s a row. The baseline is the same fleet with readsOnReplicas switched off. Latencies depend on the machine; compare them within the run.`,
    command,
    seed,
    rows,
    bounds: [{ text: `smallest share of reads served by replicas, aim ${SHARE_TARGET}`, figure: share, holds: share >= SHARE_TARGET }],
    plots: ['reads by replicas', 'read p99 ms', 'answered share'].map((figure) => ({
      title: `Reads: ${figure}`,
      type: 'line',
      xLabel: 'work offered a second',
      yLabel: figure,
      labels: LOADS,
      series: MECHANISMS.map(({ name }) => ({ name, values: rows.filter(({ mechanism }) => mechanism === name).map(({ figures }) => figures[figure] ?? null) }))
    }))
  }
}

async function measureMechanism ({ name, role, readsOnReplicas }: typeof MECHANISMS[number], seed: number): Promise<ExperimentResult['rows']> {
  const fleet = await Fleet.start({ workload: orderDesk, seed, groups: 1, hosts: 3, serviceTimeMs: SERVICE_MS, rateFactor: 20, readsOnReplicas })
  try {
    const rows: ExperimentResult['rows'] = []
    for (const perSecond of LOADS) {
      const operations = await runLoad(fleet, seed, perSecond)
      rows.push({ scenario: `${perSecond}/s offered`, mechanism: name, role, figures: summarise(operations) })
    }
    return rows
  } finally {
    await fleet.close()
  }
}

async function runLoad (fleet: Fleet, seed: number, perSecond: number): Promise<Operation[]> {
  const startMs = performance.now()
  const clock = { readTime: (): number => performance.now() - startMs }
  const callerClass = orderDesk.classes.find(({ name }) => name === 'stock')
  if (callerClass === undefined) throw new Error('the order desk has no stock checks')
  const callers = ['alves', 'brito', 'castro'].flatMap((organisation) => buildCallers({
    fleet, clock, seed, label: `load${perSecond}`, organisation, callerClass, sessions: SESSIONS / 3, perSecond: perSecond / 3
  }))
  const operations = await LoadGenerator.create({ callers, clock, loop: 'open', durationMs: DURATION_MS, operationsMaximum: 20_000, moveShare: 0.05 }).run()
  return operations.filter((operation) => operation.startMs >= WARM_UP_MS)
}

function summarise (operations: Operation[]): Record<string, number | null> {
  const completed = operations.filter(({ outcome }) => outcome === 'run')
  const reads = completed.filter(({ kind }) => kind === 'read').map(({ startMs, endMs }) => endMs - startMs)
  return {
    'reads by replicas': measureReplicaShare({ operations }) ?? null,
    'read p50 ms': computePercentile(reads, 50),
    'read p99 ms': computePercentile(reads, 99),
    'answered share': operations.length === 0 ? null : completed.length / operations.length,
    'answered/s': completed.length / ((DURATION_MS - WARM_UP_MS) / 1000)
  }
}
