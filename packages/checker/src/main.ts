import { Command } from 'commander'
import { createFuzzTargets } from './fuzz/create-fuzz-targets.js'
import { runFuzzer } from './fuzz/run-fuzzer.js'
import { runLeaseChecker } from './leases/run-lease-checker.js'
import { runChecker } from './run-checker.js'

interface Flags {
  seed: number
  runs: number
}

const program = new Command('tanagerusher-checker')
  .description('Checks the promises of the platform with random schedules of faults, and the parsers with hostile input')
  .version('0.1.0')

program.command('schedules', { isDefault: true })
  .description('run random schedules of faults against the failover and session modules; prints the smallest that breaks a promise')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of schedules', Number, 2000)
  .action(({ seed, runs }: Flags) => {
    const report = runChecker({ seed, runs })
    console.log(JSON.stringify(report, null, 2))
    process.exitCode = report.counterexample === undefined ? 0 : 1
  })

program.command('rights')
  .description('run random schedules of faults against primary leases, where an old primary keeps serving after its replacement')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of schedules', Number, 2000)
  .option('--restores', 'restore the store from copies, too', false)
  .action(async ({ seed, runs, restores }: Flags & { restores: boolean }) => {
    const report = await runLeaseChecker({ seed, runs, hasRestores: restores })
    console.log(JSON.stringify(report, null, 2))
    process.exitCode = report.counterexample === undefined ? 0 : 1
  })

program.command('hostile')
  .description('run seeded hostile input against all parsers of untrusted bytes')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of inputs for each target', Number, 20_000)
  .option('--endless', 'continue with the next seed until a fault is found', false)
  .action(({ seed, runs, endless }: Flags & { endless: boolean }) => {
    const last = endless ? Infinity : seed
    for (let next = seed; next <= last; next++) {
      const report = runFuzzer({ targets: createFuzzTargets(), seed: next, runs })
      console.log(JSON.stringify({ seed: next, ...report }, null, 2))
      if (report.faults.length === 0) continue
      process.exitCode = 1
      break
    }
  })

await program.parseAsync()
