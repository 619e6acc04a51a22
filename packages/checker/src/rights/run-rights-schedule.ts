import type { Violation } from '../common/violation.js'
import { RightsHost } from './rights-host.js'
import type { RightsStep } from './rights-step.js'
import type { RightsSwitches } from './rights-switches.js'
import { RightsWorld } from './rights-world.js'

interface RunOptions {
  seed: number
  steps: readonly RightsStep[]
  switches?: RightsSwitches
}

const HOSTS = 4
const START_MS = 1500
/** Covers the takeover of an abandoned claim, the limit of the rights and a promotion. */
const RECOVERY_MS = 20_000
const RECOVERY_STEP_MS = 200
const SPLIT_AFTER_MS = 600
const CALLER_EVERY_MS = 40

/** Runs one schedule against hosts that share the primary of a group whose promotions do not stop the old one. */
export async function runRightsSchedule ({ seed, steps, switches = {} }: RunOptions): Promise<{ violations: Violation[], acknowledged: number, promotions: number }> {
  const world = RightsWorld.create({ seed, hosts: HOSTS })
  const hosts: RightsHost[] = []
  world.time.open()
  try {
    for (let index = 0; index < HOSTS; index++) hosts.push(RightsHost.create({ index, world, switches, findHost: (other) => hosts[other] as RightsHost }))
    for (const host of hosts) host.start()
    await world.time.runUntil(START_MS)
    for (const [index, step] of steps.entries()) {
      await world.time.runUntil(world.time.now + step.delayMs)
      runStep(world, hosts, step, index)
    }
    await recover(world, hosts)
  } finally {
    for (const host of hosts) host.close()
    world.time.close()
  }
  return { violations: world.violations, acknowledged: world.acknowledged.size, promotions: world.promotions }
}

function runStep (world: RightsWorld, hosts: readonly RightsHost[], step: RightsStep, index: number): void {
  const setTrouble = (name: string, forMs: number): void => { world.troubles.set(name, Math.max(world.findTrouble(name) ?? 0, world.time.now + forMs)) }
  const name = 'database' in step ? world.databases[step.database]?.id ?? '' : ''
  switch (step.type) {
    case 'write': world.time.add(0, () => { void hosts[step.host]?.write(`w${index}`) }, step.host); return
    case 'read': world.time.add(0, () => { void hosts[step.host]?.read() }, step.host); return
    case 'split': return split(world, hosts, step, index)
    case 'release-primary': world.primary.isLeaving = true; return
    case 'dark-database': return setTrouble(`dark ${name}`, step.forMs)
    case 'slow-database': return setTrouble(`slow ${name}`, step.forMs)
    case 'cut-database': return setTrouble(`cut ${name}`, step.forMs)
    case 'cut-host-from-database': return setTrouble(`path ${step.host} ${name}`, step.forMs)
    case 'cut-host-from-store': return setTrouble(`store ${step.host}`, step.forMs)
    case 'cut-host-from-hosts': return setTrouble(`hosts ${step.host}`, step.forMs)
    case 'suspend-host':
      if (world.has(`suspend ${step.host}`)) return
      setTrouble(`suspend ${step.host}`, step.forMs)
      world.time.add(step.forMs, () => { hosts[step.host]?.recordSuspension(step.forMs) })
      return
    case 'store-slow': return setTrouble('store slow', step.forMs)
    case 'store-loses-answers': return setTrouble('store loses', step.forMs)
    case 'endpoint-loses-answers': return setTrouble('endpoint loses', step.forMs)
  }
}

function split (world: RightsWorld, hosts: readonly RightsHost[], { host, forMs, areAnswersSlow, isDatabaseSlow, hasCompanion }: Extract<RightsStep, { type: 'split' }>, index: number): void {
  const until = world.time.now + forMs
  const { id } = world.primary
  if (areAnswersSlow) world.troubles.set(`answers ${host}`, until)
  if (isDatabaseSlow) world.troubles.set(`slow ${id}`, until)
  world.troubles.set(`cut ${id}`, until)
  const side = hasCompanion ? [host, (host + 1) % HOSTS] : [host]
  for (let other = 0; other < HOSTS; other++) if (!side.includes(other)) world.troubles.set(`path ${other} ${id}`, until)
  // The last answer of the store is still on its way when the host is cut off.
  world.time.add(areAnswersSlow ? SPLIT_AFTER_MS : 0, () => {
    for (const member of side) world.troubles.set(`store ${member}`, until)
    for (const member of side) world.troubles.set(`side ${member}`, until)
  })
  for (let at = 0; at < forMs; at += CALLER_EVERY_MS) {
    world.time.add(at, () => { void (at % (2 * CALLER_EVERY_MS) === 0 ? hosts[host]?.write(`s${index}-${at}`) : hosts[host]?.read()) }, host)
  }
}

async function recover (world: RightsWorld, hosts: readonly RightsHost[]): Promise<void> {
  for (const [name, until] of world.troubles) if (!name.startsWith('suspend')) world.troubles.set(name, Math.min(until, world.time.now))
  for (const database of world.databases) database.isLeaving = false
  const deadline = world.time.now + RECOVERY_MS
  const served = new Set<number>()
  for (let count = 0; served.size < hosts.length && world.time.now < deadline; count++) {
    for (const [index, host] of hosts.entries()) {
      if (!served.has(index)) world.time.runAs(index, () => { void host.write(`recovery-${index}-${count}`).then((isDone) => { if (isDone) served.add(index) }) })
    }
    await world.time.runUntil(world.time.now + RECOVERY_STEP_MS)
  }
  if (served.size < hosts.length) world.violations.push({ promise: 'all hosts serve again', detail: `${served.size} of ${hosts.length}` })
}
