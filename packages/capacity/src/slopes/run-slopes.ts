import { CommitTracker } from '@tanagerusher/coordination/failover/commit-tracker'
import { GroupMonitor } from '@tanagerusher/coordination/failover/group-monitor'
import { FairQueue } from '@tanagerusher/coordination/fairness/fair-queue'
import { KeySet } from '@tanagerusher/coordination/keys/key-set'
import { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import { buildChange } from './build-change.js'
import { buildReplica } from './build-replica.js'
import { measureSlope } from './measure-slope.js'
import type { Slope } from './slope.js'

const SIZES = [250, 1000, 4000, 16_000]
const OPERATIONS = 20_000
const MEMBERS = ['a', 'b', 'c']

/** Measures the heap and processor time of each kind of state that grows with the fleet, at four sizes. */
export function runSlopes (): Slope[] {
  return SIZES.flatMap((size) => [
    measureSlope({ name: 'configuration object', size, operations: 2000, build: buildReplica, run: (replica, index) => { replica.applyStoreChanges([buildChange(index % size, size + index + 1)]) } }),
    measureSlope({ name: 'key', size, operations: OPERATIONS, build: buildKeys, run: (keys, index) => { keys.check({ organisation: `o${index % size}`, keyName: `k${index % size}`, generation: 1, entryName: 'e' }) } }),
    measureSlope({ name: 'group watched', size, operations: OPERATIONS, build: buildGroups, run: updateGroup }),
    measureSlope({ name: 'session floor', size, operations: OPERATIONS, build: buildFloors, run: (floors, index) => { floors[index % size]?.raise('group', { term: 1, position: index }) } }),
    measureSlope({ name: 'organisation in a queue', size, operations: OPERATIONS, build: buildQueue, run: (queue, index) => { enqueueAndTake(queue, index, size) } })
  ])
}

function buildKeys (size: number): KeySet {
  const keys = KeySet.create()
  const changes = Array.from({ length: size }, (_, index): ConfigurationChange => ({
    type: 'put',
    object: { kind: 'key', name: `k${index}`, version: index + 1, value: { organisation: `o${index}`, generation: 1, withdrawn: false, salt: 's'.repeat(24), iterations: 4096, storedKey: `${index}`.padEnd(44, 'k'), serverKey: `${index}`.padEnd(44, 's') } }
  }))
  keys.apply({ fromVersion: 0, changes })
  return keys
}

interface WatchedGroup {
  monitor: GroupMonitor
  tracker: CommitTracker
}

function buildGroups (size: number): WatchedGroup[] {
  const groups = Array.from({ length: size }, () => ({ monitor: GroupMonitor.create({ members: MEMBERS, rank: 0, now: 0 }), tracker: CommitTracker.create({ members: MEMBERS }) }))
  for (let index = 0; index < size * MEMBERS.length; index++) updateGroup(groups, index)
  return groups
}

function updateGroup (groups: WatchedGroup[], index: number): void {
  const group = groups[index % groups.length] as WatchedGroup
  const database = MEMBERS[Math.floor(index / groups.length) % MEMBERS.length] as string
  const status: DatabaseStatus = {
    database, role: database === 'a' ? 'primary' : 'replica', promisedTerm: 1, log: { term: 1, position: index }, termStart: 1, primary: 'a', linkSilentMs: 0, connections: 3
  }
  group.monitor.handle({ type: 'status', status }, index / groups.length)
  group.tracker.handle({ type: 'status', status }, index / groups.length)
}

function buildFloors (size: number): SessionFloor[] {
  return Array.from({ length: size }, (_, index) => SessionFloor.create({ floors: [['group', { term: 1, position: index }]] }))
}

function buildQueue (size: number): FairQueue {
  const queue = FairQueue.create({ slots: 3 })
  for (let index = 0; index < size; index++) queue.enqueue(buildRequest(`first-${index}`, index), 0)
  return queue
}

function enqueueAndTake (queue: FairQueue, index: number, size: number): void {
  queue.enqueue(buildRequest(`next-${index}`, index % size), index)
  const taken = queue.take()
  if (taken !== undefined) queue.finish(taken.id, taken.organisation, 2)
}

function buildRequest (id: string, organisation: number): Parameters<FairQueue['enqueue']>[0] {
  return { id, organisation: `o${organisation}`, weight: 1, serviceClass: 'interactive', deadline: 1e9, maximumQueued: 1e6 }
}
