import { Command } from 'commander'
import { runChecker } from './run-checker.js'

const program = new Command('tanagerusher-checker')
  .description('Checks the promises over random schedules of faults against the decision modules')
  .version('0.1.0')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--runs <n>', 'number of schedules', Number, 2000)
  .parse()

const { seed, runs } = program.opts<{ seed: number, runs: number }>()
const report = runChecker({ seed, runs })
console.log(JSON.stringify(report, null, 2))
process.exitCode = report.counterexample === undefined ? 0 : 1
