import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { ConnectionSet } from './connection-set.js'
import type { HeldConnection } from './held-connection.js'
import type { OwnerEvents } from './owner-events.js'
import type { PrimaryGate } from './primary-gate.js'

interface CreateOptions {
  record: UpstreamRecord
  connections: ConnectionSet
  primary: PrimaryGate
  health: UpstreamHealth
  clock: Clock
  logger: Logger
  events: OwnerEvents
}

/** Time for control statements, which take no slot. */
const CONTROL_TIMEOUT_MS = 1000
const PROBE_TIMEOUT_MS = 400
const PROBE_ORGANISATION = '-'

/** Commands of the proxy's own to one database, and what all of its answers say of it. */
export class DatabaseControl {
  /** In whose name a connection is opened when none is idle. */
  organisation = PROBE_ORGANISATION
  readonly #options: CreateOptions
  #probe: Promise<boolean> | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): DatabaseControl {
    return new DatabaseControl(options)
  }

  /** Asks the database whether it leads, without taking a slot. True when it answered at all. */
  async probe (): Promise<boolean> {
    this.#probe ??= this.#runProbe().finally(() => { this.#probe = undefined })
    return await this.#probe
  }

  async run (command: UpstreamCommand): Promise<StatementAnswer> {
    const { connections } = this.#options
    const held = await this.#acquire()
    if (held === undefined) return { type: 'lost', reason: 'no connection' }
    const [answer] = await Promise.all(held.connection.send([command], CONTROL_TIMEOUT_MS)) as [StatementAnswer]
    this.recordHealth(answer)
    if (answer.type === 'lost') connections.discard(held)
    else connections.release(held)
    return answer
  }

  recordHealth (answer: StatementAnswer): void {
    const { health, connections, clock } = this.#options
    if (answer.type !== 'lost') {
      health.recordAnswer(clock.readTime())
      return
    }
    health.recordFailure(clock.readTime())
    if (connections.size > 0) void this.probe()
  }

  recordLeadership (answer: StatementAnswer, sentAt: number): void {
    const { record, events, logger } = this.#options
    if (answer.type === 'done' && answer.position !== undefined) events.handleLeaderProof(record, answer.position, sentAt)
    if (answer.type === 'failed' && answer.failure === 'not-primary') {
      logger.info('database does not lead', { database: record.id, group: record.group })
      events.handleLeaderRefusal(record)
    }
  }

  async #runProbe (): Promise<boolean> {
    const { connections, primary, clock } = this.#options
    const held = await this.#acquire()
    if (held === undefined) return false
    const sentAt = clock.readTime()
    const right = primary.check(false)
    const [begin] = await Promise.all(held.connection.send([{ type: 'begin', isReadOnly: false, after: undefined }, { type: 'rollback' }], PROBE_TIMEOUT_MS)) as [StatementAnswer, StatementAnswer]
    this.recordHealth(begin)
    // A primary that was replaced may answer like one that leads; only with a right does its answer prove anything.
    if (right.type === 'held' || begin.type === 'failed') this.recordLeadership(begin, sentAt)
    if (begin.type !== 'lost') {
      connections.release(held)
      return true
    }
    // Where one connection has fallen silent the others may have too; each would cost a request its whole time limit.
    connections.discard(held)
    connections.closeIdleUnusedSince(sentAt)
    return false
  }

  async #acquire (): Promise<HeldConnection | undefined> {
    const { connections, health, clock } = this.#options
    const idle = connections.acquireAnyIdle()
    if (idle !== undefined) return idle
    const acquisition = await connections.acquire(this.organisation, [], PROBE_TIMEOUT_MS)
    if (acquisition.type === 'acquired') return acquisition.held
    if (acquisition.type === 'unreachable') health.recordFailure(clock.readTime())
    return undefined
  }
}
