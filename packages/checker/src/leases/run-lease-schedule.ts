import type { Violation } from '../common/violation.js'
import { LeaseHost } from './lease-host.js'
import type { LeaseStep } from './lease-step.js'
import type { LeaseSwitches } from './lease-switches.js'
import { LeaseSimulation } from './lease-simulation.js'

interface RunOptions {
  seed: number
  steps: readonly LeaseStep[]
  switches?: LeaseSwitches
}

const HOST_COUNT = 4
const WARM_UP_MS = 1500
/** Covers the takeover of an abandoned claim, the expiry of the leases and a promotion. */
const RECOVERY_TIMEOUT_MS = 20_000
const RECOVERY_STEP_MS = 200
const SPLIT_DELAY_MS = 600
const CALL_INTERVAL_MS = 40

/** Runs one schedule against hosts that share a group in which a promotion does not stop the old primary, and checks the recovery. */
export async function runLeaseSchedule ({ seed, steps, switches = {} }: RunOptions): Promise<{ violations: Violation[], acknowledged: number, promotions: number }> {
  const simulation = LeaseSimulation.create({ seed, hosts: HOST_COUNT })
  const hosts: LeaseHost[] = []
  simulation.time.open()
  try {
    for (let index = 0; index < HOST_COUNT; index++) hosts.push(LeaseHost.create({ index, simulation, switches, findHost: (other) => hosts[other] as LeaseHost }))
    for (const host of hosts) host.start()
    await simulation.time.runUntil(WARM_UP_MS)
    for (const [index, step] of steps.entries()) {
      await simulation.time.runUntil(simulation.time.now + step.delayMs)
      runStep(simulation, hosts, step, index)
    }
    await recover(simulation, hosts)
  } finally {
    for (const host of hosts) host.close()
    simulation.time.close()
  }
  return { violations: simulation.violations, acknowledged: simulation.acknowledged.size, promotions: simulation.promotions }
}

function runStep (simulation: LeaseSimulation, hosts: readonly LeaseHost[], step: LeaseStep, index: number): void {
  const startFault = (name: string, forMs: number): void => { simulation.faultEndTimes.set(name, Math.max(simulation.findFaultEnd(name) ?? 0, simulation.time.now + forMs)) }
  const name = 'database' in step ? simulation.databases[step.database]?.id ?? '' : ''
  switch (step.type) {
    case 'write': simulation.time.add(0, () => { void hosts[step.host]?.write(`w${index}`) }, step.host); return
    case 'read': simulation.time.add(0, () => { void hosts[step.host]?.read() }, step.host); return
    case 'split': return startSplit(simulation, hosts, step, index)
    case 'release-primary': simulation.primary.isLeaving = true; return
    case 'dark-database': return startFault(`unreachable ${name}`, step.forMs)
    case 'slow-database': return startFault(`slow ${name}`, step.forMs)
    case 'cut-database': return startFault(`cut ${name}`, step.forMs)
    case 'cut-host-from-database': return startFault(`path ${step.host} ${name}`, step.forMs)
    case 'cut-host-from-store': return startFault(`store ${step.host}`, step.forMs)
    case 'cut-host-from-hosts': return startFault(`hosts ${step.host}`, step.forMs)
    case 'suspend-host':
      if (simulation.hasFault(`suspend ${step.host}`)) return
      startFault(`suspend ${step.host}`, step.forMs)
      simulation.time.add(step.forMs, () => { hosts[step.host]?.recordSuspension(step.forMs) })
      return
    case 'store-restored': {
      const copy = simulation.createStoreCopy()
      simulation.time.add(step.copyAgeMs, () => { for (const host of hosts.keys()) startFault(`store ${host}`, step.forMs) })
      simulation.time.add(step.copyAgeMs + step.forMs, () => { simulation.restoreStore(copy) })
      return
    }
    case 'store-slow': return startFault('store slow', step.forMs)
    case 'store-loses-answers': return startFault('store loses', step.forMs)
    case 'endpoint-loses-answers': return startFault('endpoint loses', step.forMs)
  }
}

function startSplit (simulation: LeaseSimulation, hosts: readonly LeaseHost[], { host, forMs, areAnswersSlow, isDatabaseSlow, hasCompanion }: Extract<LeaseStep, { type: 'split' }>, index: number): void {
  const until = simulation.time.now + forMs
  const { id } = simulation.primary
  if (areAnswersSlow) simulation.faultEndTimes.set(`slow-responses ${host}`, until)
  if (isDatabaseSlow) simulation.faultEndTimes.set(`slow ${id}`, until)
  simulation.faultEndTimes.set(`cut ${id}`, until)
  const isolatedHosts = hasCompanion ? [host, (host + 1) % HOST_COUNT] : [host]
  for (let other = 0; other < HOST_COUNT; other++) if (!isolatedHosts.includes(other)) simulation.faultEndTimes.set(`path ${other} ${id}`, until)
  // The last response of the store is still in flight when the host is cut off.
  simulation.time.add(areAnswersSlow ? SPLIT_DELAY_MS : 0, () => {
    for (const isolated of isolatedHosts) simulation.faultEndTimes.set(`store ${isolated}`, until)
    for (const isolated of isolatedHosts) simulation.faultEndTimes.set(`side ${isolated}`, until)
  })
  for (let at = 0; at < forMs; at += CALL_INTERVAL_MS) {
    simulation.time.add(at, () => { void (at % (2 * CALL_INTERVAL_MS) === 0 ? hosts[host]?.write(`s${index}-${at}`) : hosts[host]?.read()) }, host)
  }
}

async function recover (simulation: LeaseSimulation, hosts: readonly LeaseHost[]): Promise<void> {
  for (const [name, until] of simulation.faultEndTimes) if (!name.startsWith('suspend')) simulation.faultEndTimes.set(name, Math.min(until, simulation.time.now))
  for (const database of simulation.databases) database.isLeaving = false
  const deadline = simulation.time.now + RECOVERY_TIMEOUT_MS
  const servedHosts = new Set<number>()
  for (let count = 0; servedHosts.size < hosts.length && simulation.time.now < deadline; count++) {
    for (const [index, host] of hosts.entries()) {
      if (!servedHosts.has(index)) simulation.time.runAs(index, () => { void host.write(`recovery-${index}-${count}`).then((isDone) => { if (isDone) servedHosts.add(index) }) })
    }
    await simulation.time.runUntil(simulation.time.now + RECOVERY_STEP_MS)
  }
  if (servedHosts.size < hosts.length) simulation.violations.push({ promise: 'all hosts serve again', detail: `${servedHosts.size} of ${hosts.length}` })
}
