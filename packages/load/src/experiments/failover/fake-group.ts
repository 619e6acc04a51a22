import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'

interface FakeDatabase {
  name: string
  role: 'primary' | 'replica'
  promisedTerm: number
  primary: string | null
  log: Array<{ term: number, id: string }>
  lastReplicatedAt: number
  isRunning: boolean
}

export type CallFailure = 'refused' | 'timeout'

const REPLICATION_INTERVAL_MS = 10
const CALL_TIMEOUT_MS = 400

/** Fake database group in virtual time, with terms, asynchronous replication, crashes and network partitions. */
export class FakeGroup {
  readonly members: string[]
  readonly #databases = new Map<string, FakeDatabase>()
  readonly #cutOffDatabases = new Set<string>()
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  /** The only host that still reaches the databases that are cut off, as a partition may affect hosts differently. */
  hostInPartition: string | undefined

  private constructor (time: VirtualTime, random: SeededRandom, size: number) {
    this.#time = time
    this.#random = random
    this.members = Array.from({ length: size }, (_, index) => `d${index}`)
    for (const name of this.members) {
      const role = name === 'd0' ? 'primary' : 'replica'
      this.#databases.set(name, { name, role, promisedTerm: 1, primary: 'd0', log: [{ term: 1, id: 'first' }], lastReplicatedAt: 0, isRunning: true })
    }
    this.#replicate()
  }

  static create ({ time, random, size = 3 }: { time: VirtualTime, random: SeededRandom, size?: number }): FakeGroup {
    return new FakeGroup(time, random, size)
  }

  crash (database: string): void {
    this.#findDatabase(database).isRunning = false
  }

  cutOff (database: string): void {
    this.#cutOffDatabases.add(database)
  }

  /** Simulates a call of a host: runs `execute` at a database and delivers the result or the failure after a delay. */
  call<Result> (host: string, database: string, execute: () => Result, onResult: (value: Result) => void, onFailure: (failure: CallFailure) => void): void {
    this.#time.schedule(this.#takeLatency(), () => {
      if (!this.#findDatabase(database).isRunning) this.#time.schedule(this.#takeLatency(), () => { onFailure('refused') })
      else if (!this.#isReachable(host, database)) this.#time.schedule(CALL_TIMEOUT_MS, () => { onFailure('timeout') })
      else {
        const value = execute()
        this.#time.schedule(this.#takeLatency(), () => { onResult(value) })
      }
    })
  }

  readStatus (database: string): DatabaseStatus {
    const member = this.#findDatabase(database)
    const log = readLogEnd(member)
    const linkSilentMs = member.role === 'primary' ? 0 : this.#time.readTime() - member.lastReplicatedAt
    const termStart = member.log.findIndex(({ term }) => term === log.term) + 1
    return { database, role: member.role, promisedTerm: member.promisedTerm, log, termStart, primary: member.primary, linkSilentMs, connections: 0 }
  }

  /** Appends a write. Returns `undefined` when the database is not a primary or has promised a higher term. */
  append (database: string, id: string): Position | undefined {
    const member = this.#findDatabase(database)
    const { term } = readLogEnd(member)
    if (member.role !== 'primary' || member.promisedTerm !== term) return undefined
    member.log.push({ term, id })
    return readLogEnd(member)
  }

  raiseTerm (database: string, term: number): { granted: boolean, promisedTerm: number, log: Position } {
    const member = this.#findDatabase(database)
    const granted = term > member.promisedTerm
    if (granted) member.promisedTerm = term
    return { granted, promisedTerm: member.promisedTerm, log: readLogEnd(member) }
  }

  promote (database: string, term: number): boolean {
    const member = this.#findDatabase(database)
    if (member.promisedTerm !== term) return false
    if (readLogEnd(member).term !== term) member.log.push({ term, id: `first-of-${term}` })
    Object.assign(member, { role: 'primary', primary: database })
    return true
  }

  follow (database: string, term: number, primary: string): void {
    const member = this.#findDatabase(database)
    if (member.promisedTerm <= term) Object.assign(member, { role: 'replica', promisedTerm: term, primary, lastReplicatedAt: this.#time.readTime() })
  }

  readHistory (database: string): Array<{ term: number, start: number }> {
    const { log } = this.#findDatabase(database)
    return log.flatMap(({ term }, index) => log[index - 1]?.term === term ? [] : [{ term, start: index + 1 }])
  }

  /** Lists the writes that the primary of the highest term holds. */
  listSurvivingWrites (): Set<string> {
    const primaries = [...this.#databases.values()].filter(({ role }) => role === 'primary')
    const currentPrimary = primaries.sort((left, right) => readLogEnd(right).term - readLogEnd(left).term)[0] as FakeDatabase
    return new Set(currentPrimary.log.map(({ id }) => id))
  }

  #replicate (): void {
    for (const replica of this.#databases.values()) {
      const primary = replica.role === 'replica' && replica.primary !== null ? this.#findDatabase(replica.primary) : undefined
      if (primary !== undefined && this.#random.takeBoolean(0.7)) this.#copyLog(primary, replica)
    }
    this.#time.schedule(REPLICATION_INTERVAL_MS, () => { this.#replicate() })
  }

  #copyLog (primary: FakeDatabase, replica: FakeDatabase): void {
    if (!primary.isRunning || !replica.isRunning || this.#cutOffDatabases.has(primary.name) || this.#cutOffDatabases.has(replica.name)) return
    if (primary.role !== 'primary' || readLogEnd(primary).term < replica.promisedTerm) return
    if (!hasSameLogEnd(primary, replica)) replica.log = [...primary.log]
    replica.lastReplicatedAt = this.#time.readTime()
  }

  #isReachable (host: string, database: string): boolean {
    return !this.#cutOffDatabases.has(database) || host === this.hostInPartition
  }

  #takeLatency (): number {
    return 0.5 + this.#random.takeFraction() * 2
  }

  #findDatabase (database: string): FakeDatabase {
    return this.#databases.get(database) as FakeDatabase
  }
}

function hasSameLogEnd (left: FakeDatabase, right: FakeDatabase): boolean {
  return left.log.length === right.log.length && left.log.at(-1)?.id === right.log.at(-1)?.id
}

function readLogEnd ({ log }: FakeDatabase): Position {
  return { term: log[log.length - 1]?.term ?? 0, position: log.length }
}
