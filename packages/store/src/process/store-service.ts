import type { Clock } from '@tanagerusher/coordination/common/clock'
import { MonotonicClock } from '@tanagerusher/runtime/clock/monotonic-clock'
import { CallRateLimiter } from '../budget/call-rate-limiter.js'
import { CallStatistics } from '../budget/call-statistics.js'
import { FaultState } from '../faults/fault-state.js'
import { HostList } from '../hosts/host-list.js'
import { ControlServer } from '../http/control-server.js'
import { ObjectServer } from '../http/object-server.js'
import { WatchHub } from '../http/watch-hub.js'
import { ObjectTable } from '../objects/object-table.js'
import type { StoreSettings } from '../settings/store-settings.js'

/** Stand-in for the platform's object API: a single process that keeps its state in memory. */
export class StoreService {
  readonly #objects: ObjectServer
  readonly #control: ControlServer

  private constructor (objects: ObjectServer, control: ControlServer) {
    this.#objects = objects
    this.#control = control
  }

  static async start (settings: StoreSettings, clock: Clock = MonotonicClock.create()): Promise<StoreService> {
    const faultState = FaultState.create()
    const statistics = CallStatistics.create()
    const watches = WatchHub.create()
    faultState.watch(() => { if (faultState.current.outage !== 'none') watches.endAll() })
    const server = ObjectServer.create({
      settings,
      objects: createObjects(settings),
      hosts: HostList.create({ delayMs: settings.hostListDelayMs, timeoutMs: settings.hostTimeoutMs, hosts: settings.hosts }),
      readBudget: CallRateLimiter.create({ perSecond: settings.readsPerSecond, burstSeconds: settings.burstSeconds }),
      writeBudget: CallRateLimiter.create({ perSecond: settings.writesPerSecond, burstSeconds: settings.burstSeconds }),
      statistics,
      faultState,
      watches,
      readTime: () => clock.readTime()
    })
    await server.listen()
    const control = await ControlServer.open({ address: settings.address, port: settings.controlPort, faultState, statistics })
    return new StoreService(server, control)
  }

  get port (): number { return this.#objects.port }
  get controlPort (): number { return this.#control.port }

  async close (): Promise<void> {
    await this.#objects.close()
    await this.#control.close()
  }
}

function createObjects (settings: StoreSettings): ObjectTable {
  const table = ObjectTable.create()
  for (const { kind, name, value } of settings.objects) table.write(kind, name, value, 0)
  return table
}
