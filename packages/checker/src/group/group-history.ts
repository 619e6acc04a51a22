import type { Position } from '@tanagerusher/state/position/position'
import type { Violation } from '../common/violation.js'
import type { FakeMember } from './fake-member.js'

/** Outcomes that callers received, with the checks of the promises over them. */
export class GroupHistory {
  readonly violations: Violation[] = []
  /** Work whose callers received no outcome. */
  readonly unknownOutcomes: string[] = []
  readonly acknowledged = new Set<string>()
  acknowledgedReads = 0
  readonly #acknowledgedBySession = new Map<number, string[]>()
  readonly #notRun = new Set<string>()
  readonly #primaries = new Map<number, string>()

  static create (): GroupHistory {
    return new GroupHistory()
  }

  recordAcknowledged (session: number | undefined, work: string): void {
    this.acknowledged.add(work)
    if (session !== undefined) this.#acknowledgedBySession.set(session, [...this.listAcknowledged(session), work])
  }

  recordNotRun (work: string): void {
    this.#notRun.add(work)
  }

  /** Returns the writes of the session that were acknowledged so far. */
  listAcknowledged (session: number): string[] {
    return this.#acknowledgedBySession.get(session) ?? []
  }

  checkRead (session: number, expected: readonly string[], member: FakeMember, floor: Position | undefined): void {
    this.acknowledgedReads++
    const seen = new Set(member.log.map(({ work }) => work))
    const missing = expected.filter((work) => !seen.has(work))
    if (missing.length === 0) return
    this.violations.push({ promise: 'read-your-writes', detail: `session ${session} misses ${missing.join(', ')} at ${member.name} with floor ${JSON.stringify(floor)} and log ${JSON.stringify(member.end)}` })
  }

  /** Checks that each term has at most one primary. */
  checkPrimaries (members: readonly FakeMember[]): void {
    for (const { role, end, name } of members) {
      if (role !== 'primary') continue
      const known = this.#primaries.get(end.term) ?? name
      this.#primaries.set(end.term, known)
      if (known !== name) this.violations.push({ promise: 'one primary a term', detail: `term ${end.term} has ${known} and ${name}` })
    }
  }

  /** Compares the outcomes that callers received with the log of the final primary. */
  checkOutcome (final: FakeMember): void {
    const counts = new Map<string, number>()
    for (const { work } of final.log) if (work !== '') counts.set(work, (counts.get(work) ?? 0) + 1)
    for (const work of this.acknowledged) if (!counts.has(work)) this.violations.push({ promise: 'no acknowledged write is lost', detail: work })
    for (const [work, count] of counts) if (count > 1) this.violations.push({ promise: 'at most once', detail: `${work} ran ${count} times` })
    for (const work of this.#notRun) if (counts.has(work)) this.violations.push({ promise: 'not run is true', detail: work })
  }
}
