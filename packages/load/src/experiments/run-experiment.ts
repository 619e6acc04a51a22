import type { ExperimentResult } from '../report/experiment-result.js'
import { runBudgetExperiment } from './budget/run-budget-experiment.js'
import { runFailoverExperiment } from './failover/run-failover-experiment.js'
import { runFairnessExperiment } from './fairness/run-fairness-experiment.js'
import { runReplicaExperiment } from './replicas/run-replica-experiment.js'

interface RunExperimentOptions {
  name: string
  seed: number
  /** Number of seeded cases per row of an experiment in virtual time. */
  runs: number
}

/** Runs the experiment with the given name. Returns `undefined` when there is none. */
export async function runExperiment ({ name, seed, runs }: RunExperimentOptions): Promise<ExperimentResult | undefined> {
  const options = { seed, runs, command: `npm run measure -- --experiment ${name} --seed ${seed} --runs ${runs}` }
  switch (name) {
    case 'replica-reads': return await runReplicaExperiment(options)
    case 'failover-gap': return runFailoverExperiment(options)
    case 'worst-served': return runFairnessExperiment(options)
    case 'false-rejections': return runBudgetExperiment(options)
    default: return undefined
  }
}
