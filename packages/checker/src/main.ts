import { Command } from 'commander'
import { createTargets } from './hostile/create-targets.js'
import { runHostile } from './hostile/run-hostile.js'
import { runRightsChecker } from './rights/run-rights-checker.js'
import { runChecker } from './run-checker.js'

interface Flags {
  seed: number
  runs: number
}

const program = new Command('tanagerusher-checker')
  .description('Checks the promises over random schedules of faults, and the parsers over hostile input')
  .version('0.1.0')

program.command('schedules', { isDefault: true })
  .description('random schedules of faults against the decision modules; prints the smallest that breaks a promise')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of schedules', Number, 2000)
  .action(({ seed, runs }: Flags) => {
    const report = runChecker({ seed, runs })
    console.log(JSON.stringify(report, null, 2))
    process.exitCode = report.counterexample === undefined ? 0 : 1
  })

program.command('rights')
  .description('random schedules against the right to use a primary that goes on after its replacement')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of schedules', Number, 2000)
  .action(async ({ seed, runs }: Flags) => {
    const report = await runRightsChecker({ seed, runs })
    console.log(JSON.stringify(report, null, 2))
    process.exitCode = report.counterexample === undefined ? 0 : 1
  })

program.command('hostile')
  .description('seeded hostile input for everything that takes bytes from outside')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'inputs for each target', Number, 20_000)
  .option('--endless', 'go on with the next seed until a fault is found', false)
  .action(({ seed, runs, endless }: Flags & { endless: boolean }) => {
    const last = endless ? Infinity : seed
    for (let next = seed; next <= last; next++) {
      const report = runHostile({ targets: createTargets(), seed: next, runs })
      console.log(JSON.stringify({ seed: next, ...report }, null, 2))
      if (report.faults.length === 0) continue
      process.exitCode = 1
      break
    }
  })

await program.parseAsync()
