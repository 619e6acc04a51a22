import type { Clock } from '@tanagerusher/coordination/common/clock'
import { MonotonicClock } from '@tanagerusher/runtime/clock/monotonic-clock'
import { FaultState } from '../faults/fault-state.js'
import { ControlServer } from '../http/control-server.js'
import type { DatabaseSettings } from '../settings/database-settings.js'
import { DatabaseInstance } from './database-instance.js'

/** The databases of a group that one process serves, and its control port. */
export class DatabaseService {
  readonly #instances: Map<string, DatabaseInstance>
  readonly #control: ControlServer

  private constructor (instances: Map<string, DatabaseInstance>, control: ControlServer) {
    this.#instances = instances
    this.#control = control
  }

  static async start (settings: DatabaseSettings, clock: Clock = MonotonicClock.create()): Promise<DatabaseService> {
    const faults = FaultState.create()
    const instances = new Map<string, DatabaseInstance>()
    const findAddress = (database: string): { address: string, port: number } | undefined => {
      const memberSettings = settings.members.find(({ name }) => name === database)
      return memberSettings && { address: memberSettings.address, port: instances.get(database)?.replicationPort ?? memberSettings.replicationPort }
    }
    for (const memberSettings of settings.members) {
      if (settings.serves !== undefined && !settings.serves.includes(memberSettings.name)) continue
      instances.set(memberSettings.name, DatabaseInstance.create({ settings, memberSettings, faults, clock, findAddress }))
    }
    for (const instance of instances.values()) await instance.listen()
    for (const instance of instances.values()) instance.startFollower()
    const control = await ControlServer.open({
      ...settings.control,
      faults,
      members: settings.members.map(({ name }) => name),
      served: [...instances.keys()],
      applyCrashes: async () => { await Promise.all([...instances.values()].map((instance) => instance.applyCrash())) },
      readStatuses: () => [...instances.values()].map(({ member }) => member.readStatus())
    })
    return new DatabaseService(instances, control)
  }

  get controlPort (): number { return this.#control.port }

  /** Ports of a database that this process serves. */
  findPorts (database: string): { port: number, replicationPort: number } | undefined {
    const instance = this.#instances.get(database)
    return instance && { port: instance.port, replicationPort: instance.replicationPort }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#instances.values()].map((instance) => instance.close()))
    await this.#control.close()
  }
}
