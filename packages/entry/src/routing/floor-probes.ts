import type { Clock } from '@tanagerusher/coordination/common/clock'
import { FloorProbe, type FloorProbeEffect, type FloorProbeEvent } from '@tanagerusher/coordination/session/floor-probe'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { Position } from '@tanagerusher/state/position/position'

interface CreateOptions {
  clock: Clock
  /** Asks the owner of the group's primary for a confirmed position. */
  sendProbe: (group: string) => Promise<Position>
}

interface Waiter {
  resolve: (position: Position) => void
  reject: (error: unknown) => void
}

interface GroupProbe {
  module: FloorProbe
  waiters: Map<number, Waiter>
  timer: NodeJS.Timeout | undefined
}

const RETRY_DELAY_MS = 100

/** Runs the floor probes of all groups: owns their timers and sends what `FloorProbe` decides. */
export class FloorProbes {
  readonly #options: CreateOptions
  readonly #probes = new Map<string, GroupProbe>()
  #nextWaiter = 1

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): FloorProbes {
    return new FloorProbes(options)
  }

  /**
   * Floor for a session that began at `since` and has none.
   * @throws TanagerusherError `unavailable` at the deadline
   */
  async findFloor (group: string, since: number, deadline: number): Promise<Position> {
    const probe = this.#getProbe(group)
    const waiter = this.#nextWaiter++
    return await new Promise<Position>((resolve, reject) => {
      probe.waiters.set(waiter, { resolve, reject })
      this.#handle(group, probe, { type: 'wait', waiter, since, deadline })
    })
  }

  close (): void {
    for (const { timer } of this.#probes.values()) clearTimeout(timer)
  }

  #getProbe (group: string): GroupProbe {
    let probe = this.#probes.get(group)
    if (probe === undefined) {
      probe = { module: FloorProbe.create({ retryDelayMs: RETRY_DELAY_MS }), waiters: new Map(), timer: undefined }
      this.#probes.set(group, probe)
    }
    return probe
  }

  #handle (group: string, probe: GroupProbe, event: FloorProbeEvent): void {
    const now = this.#options.clock.readTime()
    for (const effect of probe.module.handle(event, now)) this.#apply(group, probe, effect)
    clearTimeout(probe.timer)
    const next = probe.module.findNextDeadline()
    if (next !== undefined) probe.timer = setTimeout(() => { this.#handle(group, probe, { type: 'tick' }) }, Math.max(1, next - now))
  }

  #apply (group: string, probe: GroupProbe, effect: FloorProbeEffect): void {
    if (effect.type === 'send') {
      this.#options.sendProbe(group).then(
        (position) => { this.#handle(group, probe, { type: 'succeeded', probe: effect.probe, position }) },
        () => { this.#handle(group, probe, { type: 'failed', probe: effect.probe }) }
      )
      return
    }
    for (const waiter of effect.waiters) {
      const waiting = probe.waiters.get(waiter)
      probe.waiters.delete(waiter)
      if (effect.type === 'resolve') waiting?.resolve(effect.position)
      else waiting?.reject(TanagerusherError.create('unavailable', { details: { group, reason: 'no majority confirmed the position' } }))
    }
  }
}
