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
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): FloorProbes {
    return new FloorProbes(options)
  }

  /**
   * Floor for a session that began at `since` and has none; `floor` rejects with `unavailable` at the deadline. `leave`
   * ends the wait early.
   */
  findFloor (group: string, since: number, deadline: number): { floor: Promise<Position>, leave: () => void } {
    const probe = this.#getProbe(group)
    const waiter = this.#nextWaiter++
    const floor = new Promise<Position>((resolve, reject) => {
      probe.waiters.set(waiter, { resolve, reject })
      this.#handle(group, probe, { type: 'wait', waiter, since, deadline })
    })
    const leave = (): void => {
      probe.waiters.delete(waiter)
      this.#handle(group, probe, { type: 'leave', waiter })
    }
    return { floor, leave }
  }

  close (): void {
    this.#isClosed = true
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
    if (next !== undefined && !this.#isClosed) probe.timer = setTimeout(() => { this.#handle(group, probe, { type: 'tick' }) }, Math.max(1, next - now))
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
