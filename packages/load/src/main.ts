import { Command, InvalidArgumentError } from 'commander'
import { exitCodes } from '@tanagerusher/runtime/process/exit-codes'
import { runExperiment } from './experiments/run-experiment.js'
import { writePage } from './report/write-page.js'
import { writeResults } from './report/write-results.js'
import { runLoad } from './generator/run-load.js'
import { findWorkload } from './workload/find-workload.js'
import { replayTraces } from './replay/replay-traces.js'

const program = new Command('tanagerusher-load').description('Load, experiments, replay and reports').version('0.1.0')

program.command('replay')
  .description('replay recorded traces on fleets of real processes and decide their stated outcomes')
  .argument('[paths...]', 'trace files or directories', ['packages/load/traces'])
  .option('--jobs <count>', 'traces that run at a time', parseCount, 2)
  .action(async (paths: string[], { jobs }: { jobs: number }) => {
    const { failed } = await replayTraces({ paths, jobs, write: console.log })
    process.exitCode = failed === 0 ? exitCodes.success : exitCodes.failure
  })

program.command('measure')
  .description('run an experiment: replica-reads, failover-gap, worst-served or false-rejections')
  .requiredOption('--experiment <name>', 'name of the experiment')
  .option('--seed <number>', 'seed of all random choices', parseCount, 1)
  .option('--runs <count>', 'seeded cases a row of an experiment on fakes', parseCount, 20)
  .option('--output <directory>', 'directory for the JSON and the page', 'results')
  .action(async ({ experiment, seed, runs, output }: { experiment: string, seed: number, runs: number, output: string }) => {
    const result = await runExperiment({ name: experiment, seed, runs })
    if (result === undefined) return program.error(`there is no experiment ${experiment}`, { exitCode: exitCodes.usage })
    const { json, page } = writeResults(output, result)
    for (const { scenario, mechanism, role, figures } of result.rows) console.log(`${scenario} | ${mechanism} (${role}) | ${JSON.stringify(figures)}`)
    for (const { text, figure, holds } of result.bounds) console.log(`${holds ? 'holds' : 'does not hold'}: ${text}: ${figure}`)
    console.log(`written: ${json}, ${page}`)
  })

program.command('run')
  .description('run the callers of a workload on a fleet of its own, audit the databases and check the history')
  .option('--workload <name>', 'toll-ledger or order-desk', 'toll-ledger')
  .option('--seed <number>', 'seed of all random choices', parseCount, 1)
  .option('--hosts <count>', 'hosts of the fleet', parseCount, 2)
  .option('--groups <count>', 'database groups, at most 3', parseCount, 1)
  .option('--loop <kind>', 'open or closed', 'open')
  .option('--seconds <number>', 'duration', parseCount, 10)
  .option('--operations <count>', 'largest number of operations', parseCount, 100_000)
  .option('--sessions <count>', 'sessions of all organisations together', parseCount, 40)
  .option('--per-second <count>', 'work offered a second by all sessions together', parseCount, 100)
  .option('--cut-off', 'cut a primary off for a third of the run', false)
  .action(async (options: RunFlags) => { process.exitCode = await runOnce(options) ? exitCodes.success : exitCodes.failure })

program.command('soak')
  .description('repeat run with a cut-off primary and rising seeds until the time is over or a check fails')
  .option('--seed <number>', 'first seed', parseCount, 1)
  .option('--minutes <number>', 'duration', parseCount, 5)
  .action(async ({ seed, minutes }: { seed: number, minutes: number }) => {
    const endMs = performance.now() + minutes * 60_000
    for (let round = 0; performance.now() < endMs; round++) {
      const workload = round % 2 === 0 ? 'toll-ledger' : 'order-desk'
      const succeeded = await runOnce({ workload, seed: seed + round, hosts: 3, groups: 2, loop: 'open', seconds: 20, operations: 100_000, sessions: 60, perSecond: 150, cutOff: true })
      if (!succeeded) return program.error(`seed ${seed + round} failed`, { exitCode: exitCodes.failure })
    }
  })

program.command('report')
  .description('write the page over the results of a directory again')
  .option('--output <directory>', 'directory with the results', 'results')
  .action(({ output }: { output: string }) => { console.log(`written: ${writePage(output)}`) })

await program.parseAsync()

interface RunFlags { workload: string, seed: number, hosts: number, groups: number, loop: string, seconds: number, operations: number, sessions: number, perSecond: number, cutOff: boolean }

async function runOnce ({ workload: name, seed, hosts, groups, loop, seconds, operations, sessions, perSecond, cutOff }: RunFlags): Promise<boolean> {
  const workload = findWorkload(name)
  if (workload === undefined || (loop !== 'open' && loop !== 'closed') || groups > workload.groups.length) return program.error('the workload, the loop or the number of groups is not valid', { exitCode: exitCodes.usage })
  const summary = await runLoad({ workload, seed, hosts, groups, loop, durationMs: seconds * 1000, operationsMaximum: operations, sessions, perSecond, cutOff })
  for (const row of summary.classes) console.log(JSON.stringify(row))
  for (const { check, operation, text } of summary.violations) console.log(`${check}: ${operation}: ${text}`)
  console.log(`${name}, seed ${seed}: ${summary.violations.length} violations`)
  return summary.violations.length === 0
}

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 1) throw new InvalidArgumentError('a whole number from 1 is needed')
  return count
}
