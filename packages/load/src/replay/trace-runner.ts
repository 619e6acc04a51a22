import type { Clock } from '@tanagerusher/coordination/common/clock'
import { checkHistory } from '../checks/check-history.js'
import { Fleet } from '../fleet/fleet.js'
import { buildCallers } from '../generator/build-callers.js'
import { buildHistory } from '../generator/build-history.js'
import { LoadGenerator } from '../generator/load-generator.js'
import { RoamingSession } from '../generator/roaming-session.js'
import type { EntryAddress } from '../generator/entry-address.js'
import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import { SeededRandom } from '../random/seeded-random.js'
import { findWorkload } from '../workload/find-workload.js'
import type { Workload } from '../workload/workload.js'
import { applyChange } from './apply-change.js'
import { applyFault } from './apply-fault.js'
import { evaluateExpectation } from './evaluate-expectation.js'
import type { Trace, TraceEvent } from './trace.js'
import type { TraceResult } from './trace-result.js'

interface TraceSession {
  session: RoamingSession
  /** The only element is the entry of the host that the session uses. */
  entries: EntryAddress[]
  /** Settles after the last statement that was queued, because the statements of one session run one after the other. */
  lastStatement: Promise<void>
}

const VIOLATIONS_REPORTED_MAXIMUM = 3
const OPERATIONS_MAXIMUM = 50_000

/** Replays one trace on a fleet of real processes and evaluates its expectations. */
export class TraceRunner {
  readonly #trace: Trace
  readonly #workload: Workload
  readonly #fleet: Fleet
  readonly #clock: Clock
  readonly #operations: Operation[] = []
  readonly #outcomes: TraceResult['outcomes'] = []
  readonly #withdrawals: History['withdrawals'] = []
  readonly #faults: History['faults'] = []
  readonly #sessions = new Map<string, TraceSession>()
  readonly #runningEvents: Array<Promise<void>> = []

  private constructor (trace: Trace, workload: Workload, fleet: Fleet) {
    this.#trace = trace
    this.#workload = workload
    this.#fleet = fleet
    const startMs = performance.now()
    this.#clock = { readTime: () => performance.now() - startMs }
  }

  /** Starts a fleet, replays the trace on it and closes the fleet, also when the replay fails. */
  static async run (trace: Trace): Promise<TraceResult> {
    const { deployment, seed, groups, hosts, coldAdministration } = trace.header
    const workload = findWorkload(deployment) as Workload
    const fleet = await Fleet.start({ workload, seed, groups, hosts, coldAdministration })
    try {
      return await new TraceRunner(trace, workload, fleet).#replay()
    } finally {
      await fleet.close()
    }
  }

  async #replay (): Promise<TraceResult> {
    for (const [index, event] of this.#trace.events.entries()) {
      const delayMs = event.atMs - this.#clock.readTime()
      if (delayMs > 0) await new Promise((resolve) => { setTimeout(resolve, delayMs) })
      this.#startEvent(event, index)
    }
    for (let index = 0; index < this.#runningEvents.length; index++) await this.#runningEvents[index]
    await Promise.all([...this.#sessions.values()].map(async ({ session }) => { await session.close() }))
    return await this.#buildResult()
  }

  #startEvent (event: TraceEvent, index: number): void {
    const run = async (): Promise<void> => {
      try {
        await this.#handleEvent(event, index)
      } catch (error) {
        this.#outcomes.push({ holds: false, text: `event ${index + 1} (${event.type}) failed: ${String((error as Error).message ?? error)}` })
      }
    }
    this.#runningEvents.push(run())
  }

  async #handleEvent (event: TraceEvent, index: number): Promise<void> {
    switch (event.type) {
      case 'load': return await this.#runLoad(event, index)
      case 'statement': return await this.#runStatement(event, index)
      case 'fault':
        this.#faults.push({ type: event.fault, target: event.target, atMs: this.#clock.readTime() })
        return await applyFault(this.#fleet, event)
      case 'change': return await this.#handleChange(event)
    }
  }

  async #runLoad ({ durationMs, organisation, class: className, sessions, perSecond, host, moveShare }: Extract<TraceEvent, { type: 'load' }>, index: number): Promise<void> {
    const callerClass = this.#workload.classes.find(({ name }) => name === className)
    if (callerClass === undefined) throw new Error(`there is no class ${className}`)
    const { seed } = this.#trace.header
    const callers = buildCallers({ fleet: this.#fleet, clock: this.#clock, seed, label: `e${index}`, organisation, callerClass, sessions, perSecond, host })
    const generator = LoadGenerator.create({ callers, clock: this.#clock, loop: 'open', durationMs, operationsMaximum: OPERATIONS_MAXIMUM, moveShare })
    this.#operations.push(...await generator.run())
  }

  async #runStatement (event: Extract<TraceEvent, { type: 'statement' }>, index: number): Promise<void> {
    const traceSession = this.#sessions.get(event.session) ?? this.#openSession(event)
    const run = async (): Promise<void> => {
      await this.#moveTo(traceSession, event.host)
      const work = {
        kind: event.kind === 'read' ? 'read' as const : 'write' as const,
        statements: [{ text: event.sql, values: [] }],
        writes: event.writes,
        rollback: false,
        marker: '',
        ...(event.idempotencyKey === undefined ? {} : { idempotencyKey: event.idempotencyKey })
      }
      const { marker, answerMarker, ...operation } = await traceSession.session.run(work, `line-${index + 1}`)
      this.#operations.push({ ...operation, acceptsStale: this.#workload.classes.find(({ name }) => name === event.class)?.maximumAgeMs !== undefined })
      if (event.expect === 'any') return
      const holds = operation.outcome === event.expect && (event.sqlState === undefined || event.sqlState === operation.sqlState)
      const found = [operation.outcome, operation.sqlState, operation.message].filter((part) => part !== undefined).join(' ')
      this.#outcomes.push({ holds, text: `${event.session}: ${event.sql.slice(0, 60)} is ${found}, stated ${event.expect}${event.sqlState === undefined ? '' : ` ${event.sqlState}`}` })
    }
    traceSession.lastStatement = traceSession.lastStatement.then(run)
    await traceSession.lastStatement
  }

  #openSession ({ session, organisation, class: className, entry, token }: Extract<TraceEvent, { type: 'statement' }>): TraceSession {
    const entries: EntryAddress[] = [...this.#fleet.entries.slice(0, 1)]
    const identity = { ...this.#fleet.buildIdentity(organisation, className), session }
    const random = SeededRandom.create(`${this.#trace.header.seed}/${session}`)
    const traceSession: TraceSession = {
      entries,
      session: RoamingSession.create({ identity: entry === undefined ? identity : { ...identity, entry }, entries, clock: this.#clock, random, tokenShare: token ? 1 : 0 }),
      lastStatement: Promise.resolve()
    }
    this.#sessions.set(session, traceSession)
    return traceSession
  }

  async #moveTo ({ session, entries }: TraceSession, host: string | undefined): Promise<void> {
    if (host === undefined || entries[0]?.host === host) return
    const entry = this.#fleet.entries.find((candidate) => candidate.host === host)
    if (entry === undefined) throw new Error(`host ${host} does not run`)
    entries.splice(0, 1, entry)
    await session.move()
  }

  async #handleChange (event: Extract<TraceEvent, { type: 'change' }>): Promise<void> {
    const key = this.#fleet.readKeyName(event.target)
    const { accepted, text } = await applyChange(this.#fleet, event)
    if (accepted && event.change === 'withdraw-key') this.#withdrawals.push({ key, atMs: this.#clock.readTime() })
    if (event.expect === 'any') return
    this.#outcomes.push({ holds: accepted === (event.expect === 'accepted'), text: `${event.change} ${event.target} is ${accepted ? 'accepted' : `rejected (${text.slice(0, 160)})`}, stated ${event.expect}` })
  }

  async #buildResult (): Promise<TraceResult> {
    const history = await buildHistory(this.#fleet, this.#operations, { withdrawals: this.#withdrawals, faults: this.#faults })
    for (const expectation of this.#trace.expectations) this.#outcomes.push(evaluateExpectation(expectation, history))
    for (const { check, operation, text } of checkHistory(history).slice(0, VIOLATIONS_REPORTED_MAXIMUM)) this.#outcomes.push({ holds: false, text: `${check}: ${operation}: ${text}` })
    return { name: this.#trace.header.name, outcomes: this.#outcomes }
  }
}
