import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'

interface Member {
  name: string
  role: 'primary' | 'replica'
  promisedTerm: number
  primary: string | null
  log: Array<{ term: number, id: string }>
  heardAt: number
  isUp: boolean
}

export type CallFailure = 'refused' | 'silent'

const REPLICATION_INTERVAL_MS = 10
const CALL_TIMEOUT_MS = 400

/** Fake of a database group in virtual time: terms, asynchronous replication, crashes and cut-offs. */
export class FakeGroup {
  readonly members: string[]
  readonly #members = new Map<string, Member>()
  readonly #isCut = new Set<string>()
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  /** The one host that still reaches a database that is cut off; a partition need not be the same for all. */
  hostInside: string | undefined

  private constructor (time: VirtualTime, random: SeededRandom, size: number) {
    this.#time = time
    this.#random = random
    this.members = Array.from({ length: size }, (_, index) => `d${index}`)
    for (const name of this.members) {
      const role = name === 'd0' ? 'primary' : 'replica'
      this.#members.set(name, { name, role, promisedTerm: 1, primary: 'd0', log: [{ term: 1, id: 'first' }], heardAt: 0, isUp: true })
    }
    this.#replicate()
  }

  static create ({ time, random, size = 3 }: { time: VirtualTime, random: SeededRandom, size?: number }): FakeGroup {
    return new FakeGroup(time, random, size)
  }

  crash (database: string): void {
    this.#find(database).isUp = false
  }

  cutOff (database: string): void {
    this.#isCut.add(database)
  }

  /** Runs `execute` at a database, as a call of a host does; the answer or the failure arrives later. */
  call<Answer> (host: string, database: string, execute: () => Answer, answer: (value: Answer) => void, fail: (failure: CallFailure) => void): void {
    this.#time.schedule(this.#takeLatency(), () => {
      if (!this.#find(database).isUp) this.#time.schedule(this.#takeLatency(), () => { fail('refused') })
      else if (!this.#isReached(host, database)) this.#time.schedule(CALL_TIMEOUT_MS, () => { fail('silent') })
      else {
        const value = execute()
        this.#time.schedule(this.#takeLatency(), () => { answer(value) })
      }
    })
  }

  readStatus (database: string): DatabaseStatus {
    const member = this.#find(database)
    const log = readEnd(member)
    const linkSilentMs = member.role === 'primary' ? 0 : this.#time.readTime() - member.heardAt
    const termStart = member.log.findIndex(({ term }) => term === log.term) + 1
    return { database, role: member.role, promisedTerm: member.promisedTerm, log, termStart, primary: member.primary, linkSilentMs, connections: 0 }
  }

  /** Appends a write. `undefined` when the database may not: it is no primary, or it has promised a higher term. */
  append (database: string, id: string): Position | undefined {
    const member = this.#find(database)
    const { term } = readEnd(member)
    if (member.role !== 'primary' || member.promisedTerm !== term) return undefined
    member.log.push({ term, id })
    return readEnd(member)
  }

  raiseTerm (database: string, term: number): { granted: boolean, promisedTerm: number, log: Position } {
    const member = this.#find(database)
    const granted = term > member.promisedTerm
    if (granted) member.promisedTerm = term
    return { granted, promisedTerm: member.promisedTerm, log: readEnd(member) }
  }

  promote (database: string, term: number): boolean {
    const member = this.#find(database)
    if (member.promisedTerm !== term) return false
    if (readEnd(member).term !== term) member.log.push({ term, id: `first-of-${term}` })
    Object.assign(member, { role: 'primary', primary: database })
    return true
  }

  follow (database: string, term: number, primary: string): void {
    const member = this.#find(database)
    if (member.promisedTerm <= term) Object.assign(member, { role: 'replica', promisedTerm: term, primary, heardAt: this.#time.readTime() })
  }

  readHistory (database: string): Array<{ term: number, start: number }> {
    const { log } = this.#find(database)
    return log.flatMap(({ term }, index) => log[index - 1]?.term === term ? [] : [{ term, start: index + 1 }])
  }

  /** Writes that the primary of the highest term holds. */
  listSurvivors (): Set<string> {
    const primaries = [...this.#members.values()].filter(({ role }) => role === 'primary')
    const last = primaries.sort((left, right) => readEnd(right).term - readEnd(left).term)[0] as Member
    return new Set(last.log.map(({ id }) => id))
  }

  #replicate (): void {
    for (const replica of this.#members.values()) {
      const primary = replica.role === 'replica' && replica.primary !== null ? this.#find(replica.primary) : undefined
      if (primary !== undefined && this.#random.takeChance(0.7)) this.#copy(primary, replica)
    }
    this.#time.schedule(REPLICATION_INTERVAL_MS, () => { this.#replicate() })
  }

  #copy (primary: Member, replica: Member): void {
    if (!primary.isUp || !replica.isUp || this.#isCut.has(primary.name) || this.#isCut.has(replica.name)) return
    if (primary.role !== 'primary' || readEnd(primary).term < replica.promisedTerm) return
    if (!hasSameEnd(primary, replica)) replica.log = [...primary.log]
    replica.heardAt = this.#time.readTime()
  }

  #isReached (host: string, database: string): boolean {
    return !this.#isCut.has(database) || host === this.hostInside
  }

  #takeLatency (): number {
    return 0.5 + this.#random.takeFraction() * 2
  }

  #find (database: string): Member {
    return this.#members.get(database) as Member
  }
}

function hasSameEnd (left: Member, right: Member): boolean {
  return left.log.length === right.log.length && left.log.at(-1)?.id === right.log.at(-1)?.id
}

function readEnd ({ log }: Member): Position {
  return { term: log[log.length - 1]?.term ?? 0, position: log.length }
}
