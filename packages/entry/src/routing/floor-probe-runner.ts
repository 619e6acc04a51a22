import type { Clock } from '@tanagerusher/coordination/common/clock'
import { FloorProbe, type FloorProbeEffect, type FloorProbeEvent } from '@tanagerusher/coordination/session/floor-probe'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { Position } from '@tanagerusher/state/position/position'

interface CreateOptions {
  clock: Clock
  /** Requests a confirmed position from the owner of the group's primary. */
  sendProbe: (group: string) => Promise<Position>
}

interface Waiter {
  resolve: (position: Position) => void
  reject: (error: unknown) => void
}

interface GroupProbe {
  decisionModule: FloorProbe
  waiters: Map<number, Waiter>
  timer: NodeJS.Timeout | undefined
}

const RETRY_DELAY_MS = 100

/** Runs the floor probes of all groups: owns their timers and applies the effects that `FloorProbe` returns. */
export class FloorProbeRunner {
  readonly #options: CreateOptions
  readonly #probes = new Map<string, GroupProbe>()
  #nextWaiter = 1
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): FloorProbeRunner {
    return new FloorProbeRunner(options)
  }

  /**
   * Requests a floor for a session that began at `since` and has none. `floor` rejects with `unavailable` at the deadline;
   * `cancelWait` ends the wait early.
   */
  requestFloor (group: string, since: number, deadline: number): { floor: Promise<Position>, cancelWait: () => void } {
    const probe = this.#getProbe(group)
    const waiter = this.#nextWaiter++
    const floor = new Promise<Position>((resolve, reject) => {
      probe.waiters.set(waiter, { resolve, reject })
      this.#handle(group, probe, { type: 'wait', waiter, since, deadline })
    })
    const cancelWait = (): void => {
      probe.waiters.delete(waiter)
      this.#handle(group, probe, { type: 'leave', waiter })
    }
    return { floor, cancelWait }
  }

  close (): void {
    this.#isClosed = true
    for (const { timer } of this.#probes.values()) clearTimeout(timer)
  }

  #getProbe (group: string): GroupProbe {
    let probe = this.#probes.get(group)
    if (probe === undefined) {
      probe = { decisionModule: FloorProbe.create({ retryDelayMs: RETRY_DELAY_MS }), waiters: new Map(), timer: undefined }
      this.#probes.set(group, probe)
    }
    return probe
  }

  #handle (group: string, probe: GroupProbe, event: FloorProbeEvent): void {
    const now = this.#options.clock.readTime()
    for (const effect of probe.decisionModule.handle(event, now)) this.#apply(group, probe, effect)
    clearTimeout(probe.timer)
    const next = probe.decisionModule.findNextDeadline()
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
