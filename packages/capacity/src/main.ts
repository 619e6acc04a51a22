import { Command } from 'commander'
import { BoundedLoadPolicy } from './assignment/bounded-load-policy.js'
import { FirstInOrderPolicy } from './assignment/first-in-order-policy.js'
import { LeastLoadedPolicy } from './assignment/least-loaded-policy.js'
import { runAssignmentExperiment } from './assignment/run-assignment-experiment.js'

const program = new Command('tanagerusher-capacity').description('Measures what the coordination mechanisms cost as the fleet grows').version('0.1.0')

program.command('assignment')
  .description('compares ways to place databases on hosts, and the width of the set of hosts that one database may go to')
  .option('--hosts <n>', 'hosts of the fleet', Number, 2200)
  .option('--databases <n>', 'databases of the fleet', Number, 39_000)
  .option('--widths <list>', 'hosts among which a database is placed', '9,23,69,244')
  .option('--failures <n>', 'host failures that are averaged', Number, 20)
  .option('--seed <n>', 'seed', Number, 1)
  .action(({ hosts, databases, widths, failures, seed }: { hosts: number, databases: number, widths: string, failures: number, seed: number }) => {
    for (const width of widths.split(',').map(Number)) {
      const policies = [
        FirstInOrderPolicy.create(),
        LeastLoadedPolicy.create({ name: 'better of two', choices: 2 }),
        LeastLoadedPolicy.create({ name: 'least loaded', choices: width }),
        BoundedLoadPolicy.create()
      ]
      for (const policy of policies) console.log(JSON.stringify(runAssignmentExperiment({ policy, hosts, databases, width, seed, failures })))
    }
  })

program.command('path')
  .description('statements per second and latency through one host beside a direct connection, in alternating rounds')
  .option('--clients <n>', 'connections', Number, 32)
  .option('--seconds <n>', 'duration of each measurement', Number, 5)
  .option('--rounds <n>', 'rounds', Number, 3)
  .option('--seed <n>', 'seed', Number, 1)
  .action(async (flags: { clients: number, seconds: number, rounds: number, seed: number }) => {
    const { runPathBench } = await import('./path/run-path-bench.js')
    for (const result of await runPathBench(flags)) console.log(JSON.stringify(result))
  })

program.command('slopes')
  .description('heap and processor time of the state that grows with the fleet, at four sizes each')
  .action(async () => {
    const { runSlopes } = await import('./slopes/run-slopes.js')
    const { measureConfigurationBytes } = await import('./slopes/measure-configuration-bytes.js')
    for (const slope of runSlopes()) console.log(JSON.stringify(slope))
    for (const size of [250, 1000, 4000, 16_000]) console.log(JSON.stringify(measureConfigurationBytes(size)))
  })

program.command('connections')
  .description('memory of an entry for idle connections of callers')
  .option('--counts <list>', 'numbers of connections', '0,500,1000,2000,4000')
  .option('--seed <n>', 'seed', Number, 1)
  .action(async ({ counts, seed }: { counts: string, seed: number }) => {
    const { runConnectionBench } = await import('./path/run-connection-bench.js')
    for (const result of await runConnectionBench({ counts: counts.split(',').map(Number), seed })) console.log(JSON.stringify(result))
  })

program.command('groups')
  .description('cost of a pool for each group that it watches while there is no traffic')
  .option('--seed <n>', 'seed', Number, 1)
  .action(async ({ seed }: { seed: number }) => {
    const { runGroupBench } = await import('./path/run-group-bench.js')
    for (const result of await runGroupBench({ seed })) console.log(JSON.stringify(result))
  })

await program.parseAsync()
