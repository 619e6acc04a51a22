import { SeededRandom } from '../../random/seeded-random.js'
import { VirtualTime } from '../common/virtual-time.js'
import { CandidateHost } from './candidate-host.js'
import { FakeGroup } from './fake-group.js'
import { FakeStore } from './fake-store.js'
import { StoreLeasePermit } from './store-lease-permit.js'
import type { FailoverScenario } from './failover-scenario.js'
import type { FailoverMechanism } from './failover-mechanism.js'

interface FailoverOutcome {
  /** Longest pause between acknowledgements that ends after the fault, or MAXIMUM_AFTER_FAULT_MS when writes did not recover. */
  gapMs: number
  hasRecovered: boolean
  falselyAcknowledged: number
}

const HOSTS = 3
const FAULT_MS = 10_000
const MAXIMUM_AFTER_FAULT_MS = 30_000
/** After this time a case ends as soon as a write from outside the partition was acknowledged within the last STEP_MS. */
const MINIMUM_AFTER_FAULT_MS = 5000
const STEP_MS = 1000
const OUTAGE_BEFORE_FAULT_MS = 5000
const WRITE_INTERVAL_MS = 20

/** Runs one seeded case with steady writes from two hosts and one fault, and measures the gap and the lost writes. */
export function runFailoverCase (scenario: FailoverScenario, mechanism: FailoverMechanism, seed: number): FailoverOutcome {
  const random = SeededRandom.create(`${scenario.name}/${seed}`)
  const time = VirtualTime.create()
  const group = FakeGroup.create({ time, random: random.createChild('group') })
  const store = FakeStore.create({ time, random: random.createChild('store') })
  const hosts = buildHosts({ time, group, store, mechanism, seed })
  const faultMs = FAULT_MS + random.takeFraction() * 1000
  const acknowledged: Array<{ id: string, atMs: number }> = []
  const writers = [hosts[1], hosts[2]] as CandidateHost[]
  for (const [index, host] of writers.entries()) startWriter({ host, name: `w${index}`, time, waitForMajority: mechanism.acknowledgement === 'majority', acknowledged })
  if (scenario.storeOutage) time.schedule(faultMs - OUTAGE_BEFORE_FAULT_MS, () => { store.isAvailable = false })
  time.schedule(faultMs, () => { applyFault(scenario, group, hosts) })
  let endMs = faultMs + MINIMUM_AFTER_FAULT_MS
  time.runUntil(endMs)
  for (; !hasRecentAcknowledgement(acknowledged, endMs) && endMs < faultMs + MAXIMUM_AFTER_FAULT_MS; endMs += STEP_MS) time.runUntil(endMs + STEP_MS)
  return { ...measureGap(acknowledged, faultMs, endMs), falselyAcknowledged: countLostWrites(acknowledged, group) }
}

function buildHosts ({ time, group, store, mechanism, seed }: { time: VirtualTime, group: FakeGroup, store: FakeStore, mechanism: FailoverMechanism, seed: number }): CandidateHost[] {
  const hosts: CandidateHost[] = []
  for (let rank = 0; rank < HOSTS; rank++) {
    const name = `h${rank}`
    const permit = mechanism.promotion === 'majority'
      ? { isPromotionAllowed: () => true }
      : StoreLeasePermit.create({ host: name, store, time, isHostRunning: () => hosts[rank]?.isRunning ?? true })
    hosts.push(CandidateHost.create({ name, rank, seed: seed * HOSTS + rank, group, time, permit }))
  }
  return hosts
}

/** The host of one writer stays in the partition of the old primary, like callers close to it. */
function applyFault ({ fault, loseFirstHost }: FailoverScenario, group: FakeGroup, hosts: CandidateHost[]): void {
  group.hostInPartition = 'h2'
  if (fault === 'crash') group.crash('d0')
  else group.cutOff('d0')
  if (loseFirstHost && hosts[0] !== undefined) hosts[0].isRunning = false
}

function startWriter ({ host, name, time, waitForMajority, acknowledged }: {
  host: CandidateHost, name: string, time: VirtualTime, waitForMajority: boolean, acknowledged: Array<{ id: string, atMs: number }>
}): void {
  const write = (count: number): void => {
    const id = `${name}-${count}`
    host.write(id, waitForMajority, () => acknowledged.push({ id, atMs: time.readTime() }))
    time.schedule(WRITE_INTERVAL_MS, () => { write(count + 1) })
  }
  write(0)
}

function hasRecentAcknowledgement (acknowledged: Array<{ id: string, atMs: number }>, nowMs: number): boolean {
  return acknowledged.some(({ id, atMs }) => id.startsWith('w0') && atMs > nowMs - STEP_MS)
}

/** Counts only writes of the writer outside the partition, because the one inside still reaches the old primary. */
function measureGap (acknowledged: Array<{ id: string, atMs: number }>, faultMs: number, endMs: number): { gapMs: number, hasRecovered: boolean } {
  const times = acknowledged.filter(({ id }) => id.startsWith('w0')).map(({ atMs }) => atMs).sort((left, right) => left - right)
  let gapMs = 0
  for (let index = 1; index < times.length; index++) {
    if ((times[index] as number) >= faultMs) gapMs = Math.max(gapMs, (times[index] as number) - (times[index - 1] as number))
  }
  const hasRecovered = hasRecentAcknowledgement(acknowledged, endMs)
  return { gapMs: hasRecovered ? gapMs : MAXIMUM_AFTER_FAULT_MS, hasRecovered }
}

function countLostWrites (acknowledged: Array<{ id: string }>, group: FakeGroup): number {
  const survivingWrites = group.listSurvivingWrites()
  return acknowledged.filter(({ id }) => !survivingWrites.has(id)).length
}
