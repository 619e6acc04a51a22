import { Command, InvalidArgumentError } from 'commander'
import { exitCodes } from '@tanagerusher/runtime/process/exit-codes'
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

await program.parseAsync()

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 1) throw new InvalidArgumentError('a whole number from 1 is needed')
  return count
}
