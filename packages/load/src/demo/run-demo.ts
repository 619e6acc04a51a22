import { checkHistory } from '../checks/check-history.js'
import { Fleet } from '../fleet/fleet.js'
import { buildCallers } from '../generator/build-callers.js'
import { buildHistory } from '../generator/build-history.js'
import { LoadGenerator } from '../generator/load-generator.js'
import type { History } from '../history/history.js'
import { evaluateExpectation } from '../replay/evaluate-expectation.js'
import { demoWorkload } from './demo-workload.js'

interface Outcome {
  holds: boolean
  text: string
}

const DURATION_MS = 12_000
/** In the first seconds of a new fleet, entries have not yet received the replicas' positions, so the primary serves reads. */
const WARM_UP_MS = 2500
const CUT_OFF_MS = 3000
const WITHDRAW_MS = 5000
const HEAL_MS = 8000
const TOLL_GROUP = 'toll-ledger'
const WITHDRAWN_KEY_ORGANISATION = 'lille'
const SURGING_ORGANISATION = 'raekoda'
/** 3 times the rate of the organisation, all of it at one host. */
const SURGE_PER_SECOND = 300
const LOADS = [
  { organisation: 'turg', className: 'payments', sessions: 5, perSecond: 40 },
  { organisation: 'sadam', className: 'orders', sessions: 5, perSecond: 40 },
  { organisation: 'anne', className: 'pitches', sessions: 4, perSecond: 20 },
  { organisation: 'kesk', className: 'stock', sessions: 6, perSecond: 40 },
  { organisation: WITHDRAWN_KEY_ORGANISATION, className: 'pitches', sessions: 3, perSecond: 15 },
  { organisation: SURGING_ORGANISATION, className: 'pitches', sessions: 40, perSecond: SURGE_PER_SECOND, host: 'h1' }
]
const WHOLE_RUN = { type: 'expect' as const, except: [], fromMs: 0, untilMs: Number.MAX_SAFE_INTEGER }
const EXPECTATIONS = [
  { title: 'failover gap of the cut-off group, ms', ...WHOLE_RUN, measure: 'failover-gap' as const, group: TOLL_GROUP, atMost: 10_000 },
  { title: 'work under the withdrawn key after its withdrawal, ms', ...WHOLE_RUN, measure: 'withdrawal' as const, atMost: 8000 },
  { title: 'requests refused for the rate at organisations inside it', ...WHOLE_RUN, measure: 'false-rejections' as const, except: [SURGING_ORGANISATION], atMost: 0 },
  { title: 'requests of the surging organisation refused for its rate', ...WHOLE_RUN, measure: 'refused' as const, organisation: SURGING_ORGANISATION, atLeast: 1 },
  { title: 'share of reads served by replicas', ...WHOLE_RUN, measure: 'replica-share' as const, fromMs: WARM_UP_MS, atLeast: 0.95 },
  { title: 'answered work', ...WHOLE_RUN, measure: 'run' as const, atLeast: 500 }
]
const CHECKS = [
  'read-your-writes', 'monotonic-reads', 'lost', 'falsely-acknowledged', 'doubled', 'mixed-transactions', 'wrong-answer', 'false-not-run',
  'foreign-key', 'withdrawn-key', 'rate-exceeded'
]

/** Runs the demonstration and writes each outcome with its bound. Returns whether all bounds hold. */
export async function runDemo ({ seed, write }: { seed: number, write: (line: string) => void }): Promise<boolean> {
  write(`Starting a store, two groups of three databases and three hosts in two data centres (seed ${seed}).`)
  const fleet = await Fleet.start({ workload: demoWorkload, seed, groups: 2, hosts: 3 })
  try {
    const history = await runScenario(fleet, seed, write)
    const outcomes = [...listViolations(history), ...listMeasures(history)]
    for (const { holds, text } of outcomes) write(`${holds ? 'holds' : 'FAILS'}  ${text}`)
    const failed = outcomes.filter(({ holds }) => !holds).length
    write(`${outcomes.length - failed} of ${outcomes.length} outcomes hold`)
    return failed === 0
  } finally {
    await fleet.close()
  }
}

async function runScenario (fleet: Fleet, seed: number, write: (line: string) => void): Promise<History> {
  const startMs = performance.now()
  const clock = { readTime: (): number => performance.now() - startMs }
  const callers = LOADS.flatMap(({ className, ...load }) => {
    const callerClass = demoWorkload.classes.find(({ name }) => name === className)
    return callerClass === undefined ? [] : buildCallers({ fleet, clock, seed, label: 'demo', callerClass, ...load })
  })
  const generator = LoadGenerator.create({ callers, clock, loop: 'open', durationMs: DURATION_MS, operationsMaximum: 20_000, moveShare: 0.2 })
  const events: Pick<History, 'faults' | 'withdrawals'> = { faults: [], withdrawals: [] }
  const cutOff = async (): Promise<void> => {
    await waitUntil(CUT_OFF_MS, clock)
    const primary = await fleet.findPrimary(TOLL_GROUP)
    events.faults.push({ type: 'cut-off', target: primary, atMs: clock.readTime() })
    await fleet.applyFault(primary, (faults) => { faults.addCutOff(primary) })
    write(`${formatSeconds(clock.readTime())} s: ${primary}, the primary of ${TOLL_GROUP}, is cut off`)
    await waitUntil(HEAL_MS, clock)
    await fleet.applyFault(primary, (faults) => { faults.remove(primary) })
    write(`${formatSeconds(clock.readTime())} s: ${primary} is reachable again; the primary is ${await fleet.findPrimary(TOLL_GROUP)}`)
  }
  const withdraw = async (): Promise<void> => {
    await waitUntil(WITHDRAW_MS, clock)
    const { status } = await fleet.callAdministration('POST', `/v1/keys/${WITHDRAWN_KEY_ORGANISATION}-1/withdraw`)
    if (status !== 200) throw new Error(`the withdrawal was refused with status ${status}`)
    events.withdrawals.push({ key: fleet.readKeyName(WITHDRAWN_KEY_ORGANISATION), atMs: clock.readTime() })
    write(`${formatSeconds(clock.readTime())} s: the key of ${WITHDRAWN_KEY_ORGANISATION} is withdrawn while its callers are connected`)
  }
  write(`${callers.length} callers send payments, orders, stock reads and pitch logs and move between the hosts.`)
  const [operations] = await Promise.all([generator.run(), cutOff(), withdraw()])
  write(`${formatSeconds(clock.readTime())} s: ${operations.length} pieces of work are done; the databases are audited`)
  return await buildHistory(fleet, operations, events)
}

function listViolations (history: History): Outcome[] {
  const violations = checkHistory(history)
  return CHECKS.map((check) => {
    const found = violations.filter((violation) => violation.check === check)
    const example = found[0] === undefined ? '' : `, for example ${found[0].operation}: ${found[0].text}`
    return { holds: found.length === 0, text: `${check}: ${found.length}, bound 0${example}` }
  })
}

function listMeasures (history: History): Outcome[] {
  return EXPECTATIONS.map(({ title, ...expectation }) => {
    const { holds, text } = evaluateExpectation(expectation, history)
    return { holds, text: `${title}: ${text}` }
  })
}

async function waitUntil (timeMs: number, clock: { readTime: () => number }): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, Math.max(0, timeMs - clock.readTime())) })
}

function formatSeconds (milliseconds: number): string {
  return (milliseconds / 1000).toFixed(1)
}
