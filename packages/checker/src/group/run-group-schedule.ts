import { isFloorSatisfied } from '@tanagerusher/coordination/session/is-floor-satisfied'
import { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import type { Position } from '@tanagerusher/state/position/position'
import { EventQueue } from '../common/event-queue.js'
import { FakeMember, type WriteResult } from './fake-member.js'
import { GroupHistory } from './group-history.js'
import { GroupHost } from './group-host.js'
import { GroupNetwork } from './group-network.js'
import type { GroupStep } from './group-step.js'
import type { MechanismSwitches } from './mechanism-switches.js'
import type { GroupRunResult } from './group-run-result.js'

const GROUP = 'group'
const MEMBERS = ['a', 'b', 'c']
const HOST_COUNT = 3
const SESSION_COUNT = 4
const STATEMENT_TIMEOUT_MS = 800
/** Covers failure detection, several promotion attempts with back-off, and replication after the last fault. */
const RECOVERY_TIMEOUT_MS = 15_000
const RECOVERY_STEP_MS = 1000
/** Longer than a statement with its confirmation, so that no work is in flight when the outcome is checked. */
const MINIMUM_RECOVERY_MS = 4500

interface RunOptions {
  seed: number
  steps: readonly GroupStep[]
  switches?: MechanismSwitches
}

interface Write {
  hostIndex: number
  session: number | undefined
  work: string
  isRepeat: boolean
}

/** Runs one schedule against three hosts and a group of three databases, then heals all faults and checks the outcome. */
export function runGroupSchedule (options: RunOptions): GroupRunResult {
  return GroupRun.create(options).run()
}

class GroupRun {
  readonly #queue: EventQueue
  readonly #network: GroupNetwork
  readonly #hosts: GroupHost[]
  readonly #history = GroupHistory.create()
  readonly #floors = Array.from({ length: SESSION_COUNT }, () => SessionFloor.create())
  readonly #steps: readonly GroupStep[]
  readonly #switches: MechanismSwitches
  #nextWork = 0

  private constructor ({ seed, steps, switches = {} }: RunOptions) {
    this.#queue = EventQueue.create({ seed })
    this.#network = GroupNetwork.create({ queue: this.#queue, members: MEMBERS.map((name) => FakeMember.create({ name, primary: 'a' })), hostCount: HOST_COUNT })
    this.#hosts = Array.from({ length: HOST_COUNT }, (_, index) => GroupHost.create({ index, queue: this.#queue, network: this.#network, seed }))
    this.#steps = steps
    this.#switches = switches
  }

  static create (options: RunOptions): GroupRun {
    return new GroupRun(options)
  }

  run (): GroupRunResult {
    this.#queue.runUntil(500)
    for (const step of this.#steps) {
      this.#queue.runUntil(this.#queue.now + step.delayMs)
      this.#runStep(step)
      this.#history.checkPrimaries(this.#network.members)
    }
    const final = this.#recover()
    if (final === undefined) this.#history.violations.push({ promise: 'failover', detail: 'no primary after all faults ended' })
    else this.#history.checkOutcome(final)
    return { violations: this.#history.violations, acknowledged: this.#history.acknowledged.size, reads: this.#history.acknowledgedReads, hasPrimary: final !== undefined }
  }

  #recover (): FakeMember | undefined {
    this.#network.heal()
    for (const member of this.#network.members) member.isRunning = true
    const healedAt = this.#queue.now
    this.#queue.runUntil(healedAt + MINIMUM_RECOVERY_MS)
    while (!this.#isConverged() && this.#queue.now < healedAt + RECOVERY_TIMEOUT_MS) this.#queue.runUntil(this.#queue.now + RECOVERY_STEP_MS)
    this.#history.checkPrimaries(this.#network.members)
    return this.#findPrimary()
  }

  #findPrimary (): FakeMember | undefined {
    return this.#network.members.find(({ role, promisedTerm, end }) => role === 'primary' && promisedTerm === end.term)
  }

  #isConverged (): boolean {
    const primary = this.#findPrimary()
    return primary !== undefined && this.#network.members.every(({ end }) => comparePositions(end, primary.end) === 0)
  }

  #runStep (step: GroupStep): void {
    const name = 'member' in step ? MEMBERS[step.member] as string : ''
    switch (step.type) {
      case 'write': return this.#write({ hostIndex: step.host, session: step.session, work: `w${this.#nextWork++}`, isRepeat: false })
      case 'read': return this.#read(step.host, step.session, step.withToken)
      case 'repeat': return this.#repeat(step.host)
      case 'cut-member': return this.#network.cutMember(name, step.direction)
      case 'cut-host': return this.#network.cutHost(step.host, name)
      case 'cut-side': return this.#network.cutSide(step.host, name)
      case 'heal': return this.#network.heal()
      case 'crash-member': this.#network.findMember(name).isRunning = false; return
      case 'start-member': this.#network.findMember(name).isRunning = true; return
      case 'pause-host': return this.#network.pauseHost(step.host, step.forMs)
      case 'lose-answers': this.#network.lossPercent = step.percent; return
      case 'lag': this.#network.replicationIntervalMs = step.lagMs
    }
  }

  #write ({ hostIndex, session, work, isRepeat }: Write): void {
    const host = this.#hosts[hostIndex] as GroupHost
    const primary = host.findPrimary()
    // A refused repeat does not determine the outcome of the first attempt, which stays unknown.
    const recordNotRun = (): void => { isRepeat ? this.#history.unknownOutcomes.push(work) : this.#history.recordNotRun(work) }
    if (primary === undefined) return recordNotRun()
    const run = (member: FakeMember): WriteResult => this.#runWrite(member, work)
    this.#network.call(hostIndex, primary, run, STATEMENT_TIMEOUT_MS, (outcome) => {
      if (outcome.type === 'lost') return this.#recordLost(work)
      if (outcome.type === 'refused' || outcome.answer.type === 'refused') return recordNotRun()
      this.#finishWrite(host, session, work, outcome.answer.position)
    })
  }

  #runWrite (member: FakeMember, work: string): WriteResult {
    if (!this.#switches.repeatWithoutRecord) return member.write(work)
    const answer = member.write(`${work}#${this.#nextWork++}`)
    const last = member.log.at(-1)
    if (answer.type === 'written' && last !== undefined) last.work = work
    return answer
  }

  #recordLost (work: string): void {
    if (this.#switches.reportLostAsNotRun) this.#history.recordNotRun(work)
    else this.#history.unknownOutcomes.push(work)
  }

  #finishWrite (host: GroupHost, session: number | undefined, work: string, position: Position): void {
    const acknowledge = (): void => {
      if (session !== undefined) this.#floors[session]?.raise(GROUP, position)
      this.#history.recordAcknowledged(session, work)
    }
    if (this.#switches.acknowledgeAtPrimary) return acknowledge()
    host.confirm(position, (isConfirmed) => { isConfirmed ? acknowledge() : this.#history.unknownOutcomes.push(work) })
  }

  /** Repeats work of unknown outcome with its idempotency key, as a caller does at another host. */
  #repeat (hostIndex: number): void {
    const work = this.#history.unknownOutcomes.shift()
    if (work !== undefined) this.#write({ hostIndex, session: undefined, work, isRepeat: true })
  }

  #read (hostIndex: number, session: number, withToken: boolean): void {
    const host = this.#hosts[hostIndex] as GroupHost
    const expected = this.#history.listAcknowledged(session)
    const floor = withToken ? this.#floors[session]?.find(GROUP) : undefined
    if (floor !== undefined || this.#switches.skipProbe) return this.#readAt(host, session, floor, expected)
    host.probe((position) => { if (position !== undefined) this.#readAt(host, session, position, expected) })
  }

  #readAt (host: GroupHost, session: number, floor: Position | undefined, expected: readonly string[]): void {
    const replicas = host.listStatuses().filter((status) => status.role === 'replica')
    const database = replicas.find(({ log }) => this.#isSatisfied(log, floor))?.database ?? host.findPrimary()
    if (database === undefined) return
    const read = (member: FakeMember): boolean => {
      if (!this.#isSatisfied(member.end, floor)) return false
      this.#history.checkRead(session, expected, member, floor)
      return true
    }
    this.#network.call(host.index, database, read, STATEMENT_TIMEOUT_MS, () => {})
  }

  #isSatisfied (log: Position, floor: Position | undefined): boolean {
    if (floor === undefined) return true
    return this.#switches.ignoreFloorTerm ? log.position >= floor.position : isFloorSatisfied(log, floor)
  }
}
