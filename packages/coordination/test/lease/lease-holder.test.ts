import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeaseHolder, type LeaseEffect, type LeaseEvent } from '../../src/lease/lease-holder.js'

interface Stored { version: number, value: { holder: string, count: number } }

/** Store of one lease object. `isLost` drops the response after the write took effect. */
class LeaseStore {
  object: Stored | null = null

  drive (holder: LeaseHolder, now: number, { isLost = false, respondedAt = now } = {}): void {
    let event: LeaseEvent = { type: 'tick' }
    for (;;) {
      const effect: LeaseEffect | undefined = holder.handle(event, event.type === 'tick' ? now : respondedAt)[0]
      if (effect === undefined) return
      if (effect.type === 'read') event = { type: 'read', object: this.object }
      else if (effect.expectedVersion !== (this.object?.version ?? 0)) event = { type: 'conflict' }
      else {
        this.object = { version: effect.expectedVersion + 1, value: effect.value }
        event = isLost ? { type: 'lost' } : { type: 'written', version: this.object.version }
      }
    }
  }
}

describe('LeaseHolder', () => {
  // Guards against two simultaneous holders when one is paused beyond its lease between the check and the effect.
  it('loses the lease after a pause longer than its duration, and the next holder has a higher fencing token', () => {
    const store = new LeaseStore()
    const first = LeaseHolder.create({ holder: 'a' })
    const second = LeaseHolder.create({ holder: 'b' })
    store.drive(first, 0)
    assert.equal(first.isHeld(4999), true)
    store.drive(second, 100)
    store.drive(second, 5300)
    assert.equal(second.isHeld(5300), false, 'waits for the duration and the clock margin after it first read the record')
    store.drive(second, 6400)
    assert.equal(second.isHeld(6400), true)
    assert.equal(first.isHeld(6400), false)
    assert.ok(second.fencingToken > first.fencingToken)
  })

  // Guards against a lease that counts from the response, which may arrive late.
  it('counts the duration from the time when the write was sent', () => {
    const holder = LeaseHolder.create({ holder: 'a' })
    const store = new LeaseStore()
    const read = holder.handle({ type: 'tick' }, 0)
    assert.equal(read[0]?.type, 'read')
    holder.handle({ type: 'read', object: store.object }, 10)
    holder.handle({ type: 'written', version: 1 }, 4000)
    assert.equal(holder.isHeld(5009), true)
    assert.equal(holder.isHeld(5010), false)
  })

  // Guards against a holder that takes its own renewal for another holder's when the response is lost after the write took effect.
  it('renews again after a renewal whose response was lost', () => {
    const store = new LeaseStore()
    const holder = LeaseHolder.create({ holder: 'a' })
    store.drive(holder, 0)
    store.drive(holder, 1000, { isLost: true })
    assert.equal(holder.isHeld(4999), true, 'the previous lease stays valid')
    store.drive(holder, 1300)
    assert.equal(holder.isHeld(6000), true)
  })
})
