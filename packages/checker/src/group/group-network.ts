import type { EventQueue } from '../common/event-queue.js'
import type { FakeMember } from './fake-member.js'

const REPLICATION_BATCH_ENTRIES = 3
const REFUSAL_DELAY_MS = 1

type CallOutcome<Answer> = { type: 'answered', answer: Answer } | { type: 'lost' } | { type: 'refused' }

interface CreateOptions {
  queue: EventQueue
  members: FakeMember[]
  hostCount: number
}

/**
 * Simulated network for calls from hosts to members and for replication between members. Paths can be cut, responses can be lost
 * and replication can be slowed down.
 */
export class GroupNetwork {
  readonly members: FakeMember[]
  lossPercent = 0
  replicationIntervalMs = 20
  readonly #queue: EventQueue
  readonly #cutHosts = new Set<string>()
  readonly #cutMembers = new Set<string>()
  readonly #hostCount: number
  readonly #pausedUntil = new Map<number, number>()

  private constructor ({ queue, members, hostCount }: CreateOptions) {
    this.#queue = queue
    this.members = members
    this.#hostCount = hostCount
  }

  static create (options: CreateOptions): GroupNetwork {
    const network = new GroupNetwork(options)
    network.#replicate()
    return network
  }

  findMember (name: string): FakeMember {
    return this.members.find((member) => member.name === name) as FakeMember
  }

  /**
   * Runs `call` at the member and passes the outcome to `handle`. The response can be lost after the call took effect.
   * Sends and receives of a paused host are deferred until it resumes.
   */
  call<Answer> (host: number, name: string, call: (member: FakeMember) => Answer, timeoutMs: number, handle: (outcome: CallOutcome<Answer>) => void): void {
    let hasEnded = false
    const end = (outcome: CallOutcome<Answer>): void => {
      if (hasEnded) return
      hasEnded = true
      this.#runWhenResumed(host, () => { handle(outcome) })
    }
    this.#queue.add(timeoutMs, () => { end({ type: 'lost' }) })
    this.#runWhenResumed(host, () => {
      this.#queue.add(this.#queue.chooseNumber(1, 40), () => { this.#deliver(host, name, call, end) })
    })
  }

  cutHost (host: number, name: string): void {
    this.#cutHosts.add(`${host}/${name}`)
  }

  cutMember (name: string, direction: 'both' | 'to-others' | 'from-others'): void {
    for (const { name: other } of this.members) {
      if (direction !== 'from-others') this.#cutMembers.add(`${name}/${other}`)
      if (direction !== 'to-others') this.#cutMembers.add(`${other}/${name}`)
    }
  }

  /** Partitions the network: one member and one host on one side, all others on the other. */
  cutSide (host: number, name: string): void {
    this.cutMember(name, 'both')
    for (let other = 0; other < this.#hostCount; other++) if (other !== host) this.cutHost(other, name)
    for (const { name: other } of this.members) if (other !== name) this.cutHost(host, other)
  }

  heal (): void {
    this.#cutHosts.clear()
    this.#cutMembers.clear()
    this.lossPercent = 0
    this.replicationIntervalMs = 20
  }

  pauseHost (host: number, forMs: number): void {
    this.#pausedUntil.set(host, Math.max(this.#pausedUntil.get(host) ?? 0, this.#queue.now + forMs))
  }

  isPaused (host: number): boolean {
    return (this.#pausedUntil.get(host) ?? 0) > this.#queue.now
  }

  #deliver<Answer> (host: number, name: string, call: (member: FakeMember) => Answer, end: (outcome: CallOutcome<Answer>) => void): void {
    if (this.#cutHosts.has(`${host}/${name}`)) return
    const member = this.findMember(name)
    if (!member.isRunning) {
      this.#queue.add(REFUSAL_DELAY_MS, () => { end({ type: 'refused' }) })
      return
    }
    const answer = call(member)
    if (this.#queue.chooseNumber(1, 100) <= this.lossPercent) return
    this.#queue.add(this.#queue.chooseNumber(1, 40), () => { if (!this.#cutHosts.has(`${host}/${name}`)) end({ type: 'answered', answer }) })
  }

  #runWhenResumed (host: number, run: () => void): void {
    const until = this.#pausedUntil.get(host) ?? 0
    if (until <= this.#queue.now) run()
    else this.#queue.add(until - this.#queue.now, () => { this.#runWhenResumed(host, run) })
  }

  #replicate (): void {
    for (const source of this.members) {
      for (const target of this.members) {
        const isCut = this.#cutMembers.has(`${source.name}/${target.name}`) || this.#cutMembers.has(`${target.name}/${source.name}`)
        if (source === target || isCut || !source.isRunning || !target.isRunning) continue
        target.replicateFrom(source, REPLICATION_BATCH_ENTRIES, this.#queue.now)
      }
    }
    this.#queue.add(this.replicationIntervalMs, () => { this.#replicate() })
  }
}
