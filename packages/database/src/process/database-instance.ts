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
import { SlotPool } from '../wire/slot-pool.js'
import { WireServer } from '../wire/wire-server.js'
import { buildInitialChanges } from './build-initial-changes.js'
import { computeLatency } from './compute-latency.js'

type MemberSettings = DatabaseSettings['members'][number]

interface CreateOptions {
  settings: DatabaseSettings
  place: MemberSettings
  faults: FaultState
  clock: Clock
  findAddress: (database: string) => { address: string, port: number } | undefined
}

/** One database of the process with its servers. State stays over a crash, connections do not. */
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

  static create ({ settings, place, faults, clock, findAddress }: CreateOptions): DatabaseInstance {
    const member = DatabaseMember.create({
      name: place.name,
      clock,
      initialPrimary: settings.primary ?? settings.members[0]?.name ?? place.name,
      initialChanges: buildInitialChanges(settings.tables),
      ...(settings.dataDirectory === undefined ? {} : { journal: FileJournal.open(settings.dataDirectory, place.name) })
    })
    const computeLatencyMs = (remote: string): number => {
      const other = settings.members.find(({ name }) => name === remote)
      return other === undefined ? 0 : computeLatency(place, other, settings.network)
    }
    const environment = {
      settings,
      member,
      faults,
      waiters: ChangeWaiters.create(member),
      slots: SlotPool.create(settings.slots),
      parser: StatementParser.create(),
      plans: PlanCache.create(member.ledger)
    }
    const wire = WireServer.create({
      environment, address: place.address, port: place.port, computeLatencyMs: (address) => computeClientLatency(address, place, settings)
    })
    const replication = ReplicationServer.create({
      member, faults, address: place.address, port: place.replicationPort, heartbeatMs: settings.heartbeatMs, computeLatencyMs
    })
    const follower = FollowerTask.create({ member, faults, clock, findAddress, computeLatencyMs })
    return new DatabaseInstance(member, faults, wire, replication, follower)
  }

  get port (): number { return this.#wire.port }
  get replicationPort (): number { return this.#replication.port }

  /** Opens the ports. The replica's own link starts with `follow`, when the ports of all databases are known. */
  async listen (): Promise<void> {
    await this.#wire.start()
    await this.#replication.start()
    this.#isRunning = true
  }

  follow (): void {
    if (this.#isRunning) this.#follower.start()
  }

  /** Crashes or restarts the database as the faults say. */
  async applyCrash (): Promise<void> {
    const isCrashed = this.#faults.isCrashed(this.member.name)
    if (isCrashed === !this.#isRunning) return
    if (isCrashed) {
      this.#isRunning = false
      this.#follower.stop()
      await Promise.all([this.#wire.stop(), this.#replication.stop()])
    } else {
      await this.listen()
      this.follow()
    }
  }

  async close (): Promise<void> {
    this.#follower.close()
    await Promise.all([this.#wire.close(), this.#replication.close()])
    this.member.close()
  }
}

function computeClientLatency (address: string, place: MemberSettings, { network }: DatabaseSettings): number {
  const client = network.clients.find(({ prefix }) => address.replace(/^::ffff:/, '').startsWith(prefix))
  return client === undefined ? 0 : computeLatency(client, place, network)
}
