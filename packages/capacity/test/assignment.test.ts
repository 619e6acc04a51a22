import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FirstInOrderPolicy } from '../src/assignment/first-in-order-policy.js'
import { LeastLoadedPolicy } from '../src/assignment/least-loaded-policy.js'
import { runAssignmentExperiment } from '../src/assignment/run-assignment-experiment.js'

const size = { hosts: 69, databases: 1218, width: 69, seed: 3, failures: 5 }

describe('assignment of databases to hosts', () => {
  // Guards against an assignment that moves databases of healthy hosts when another host fails.
  it('moves only the databases of the failed host when the first host in rendezvous order is chosen', () => {
    assert.equal(runAssignmentExperiment({ ...size, policy: FirstInOrderPolicy.create() }).movedOverLost, 1)
  })

  // Guards against an experiment that does not show the trade-off between an even load and few moves.
  it('spreads databases more evenly with a load-aware choice, which also moves databases of healthy hosts', () => {
    const random = runAssignmentExperiment({ ...size, policy: FirstInOrderPolicy.create() })
    const betterOfTwo = runAssignmentExperiment({ ...size, policy: LeastLoadedPolicy.create({ name: 'better of two', choices: 2 }) })
    assert.ok(betterOfTwo.maximumOverMean < random.maximumOverMean)
    assert.ok(betterOfTwo.movedOverLost > 1)
  })
})
