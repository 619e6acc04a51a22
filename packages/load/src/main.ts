import { Command, InvalidArgumentError } from 'commander'
import { exitCodes } from '@tanagerusher/runtime/process/exit-codes'
import { runExperiment } from './experiments/run-experiment.js'
import { writeResults } from './report/write-results.js'
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

await program.parseAsync()

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 1) throw new InvalidArgumentError('a whole number from 1 is needed')
  return count
}
