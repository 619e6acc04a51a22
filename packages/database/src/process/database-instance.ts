import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { FaultState } from '../faults/fault-state.js'
import { ChangeWaiters } from '../member/change-waiters.js'
import { DatabaseMember } from '../member/database-member.js'
import { FileJournal } from '../member/file-journal.js'
import { FollowerTask } from '../replication/follower-task.js'
import { ReplicationServer } from '../replication/replication-server.js'
import type { DatabaseSettings } from '../settings/database-settings.js'
import { PlanCache } from '../sql/plan-cache.js'
import { StatementParser } from '../sql/statement-parser.js'
import { SlotSemaphore } from '../wire/slot-semaphore.js'
import { WireServer } from '../wire/wire-server.js'
import { buildInitialChanges } from './build-initial-changes.js'
import { computeLatency } from './compute-latency.js'

type MemberSettings = DatabaseSettings['members'][number]

interface CreateOptions {
  settings: DatabaseSettings
  memberSettings: MemberSettings
  faults: FaultState
  clock: Clock
  findAddress: (database: string) => { address: string, port: number } | undefined
}

/** One database of the process with its servers. Its state survives a crash; its connections do not. */
export class DatabaseInstance {
  readonly member: DatabaseMember
  readonly #faults: FaultState
  readonly #wire: WireServer
  readonly #replication: ReplicationServer
  readonly #follower: FollowerTask
  #isRunning = false

  private constructor (member: DatabaseMember, faults: FaultState, wire: WireServer, replication: ReplicationServer, follower: FollowerTask) {
    this.member = member
    this.#faults = faults
    this.#wire = wire
    this.#replication = replication
    this.#follower = follower
  }

  static create ({ settings, memberSettings, faults, clock, findAddress }: CreateOptions): DatabaseInstance {
    const member = DatabaseMember.create({
      name: memberSettings.name,
      clock,
      initialPrimary: settings.primary ?? settings.members[0]?.name ?? memberSettings.name,
      initialChanges: buildInitialChanges(settings.tables),
      ...(settings.dataDirectory === undefined ? {} : { journal: FileJournal.open(settings.dataDirectory, memberSettings.name) })
    })
    const computeLatencyMs = (remote: string): number => {
      const other = settings.members.find(({ name }) => name === remote)
      return other === undefined ? 0 : computeLatency(memberSettings, other, settings.network)
    }
    const environment = {
      settings,
      member,
      faults,
      waiters: ChangeWaiters.create(member),
      slots: SlotSemaphore.create(settings.slots),
      parser: StatementParser.create(),
      plans: PlanCache.create(member.ledger)
    }
    const wire = WireServer.create({
      environment,
      address: memberSettings.address,
      port: memberSettings.port,
      computeLatencyMs: (address) => computeClientLatency(address, memberSettings, settings)
    })
    const replication = ReplicationServer.create({
      member,
      faults,
      address: memberSettings.address,
      port: memberSettings.replicationPort,
      heartbeatMs: settings.heartbeatMs,
      computeLatencyMs
    })
    const follower = FollowerTask.create({ member, faults, clock, findAddress, computeLatencyMs })
    return new DatabaseInstance(member, faults, wire, replication, follower)
  }

  get port (): number { return this.#wire.port }
  get replicationPort (): number { return this.#replication.port }

  /** Opens the ports. `startFollower` opens the replication link of a replica later, because it needs the ports of all databases. */
  async listen (): Promise<void> {
    await this.#wire.start()
    await this.#replication.start()
    this.#isRunning = true
  }

  startFollower (): void {
    if (this.#isRunning) this.#follower.start()
  }

  /** Crashes or restarts the database when the faults require it. */
  async applyCrash (): Promise<void> {
    const isCrashed = this.#faults.isCrashed(this.member.name)
    if (isCrashed === !this.#isRunning) return
    if (isCrashed) {
      this.#isRunning = false
      this.#follower.stop()
      await Promise.all([this.#wire.stop(), this.#replication.stop()])
    } else {
      await this.listen()
      this.startFollower()
    }
  }

  async close (): Promise<void> {
    this.#follower.close()
    await Promise.all([this.#wire.close(), this.#replication.close()])
    this.member.close()
  }
}

function computeClientLatency (address: string, memberSettings: MemberSettings, { network }: DatabaseSettings): number {
  const client = network.clients.find(({ prefix }) => address.replace(/^::ffff:/, '').startsWith(prefix))
  return client === undefined ? 0 : computeLatency(client, memberSettings, network)
}
