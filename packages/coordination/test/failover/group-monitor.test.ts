import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { GroupMonitor, type MonitorEffect } from '../../src/failover/group-monitor.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']

interface Scenario {
  rank?: number
  /** Members whose status arrives at `now`, each with the time since its replication link was last active. */
  listReceived: (now: number, databases: FakeDatabase[]) => Array<[database: FakeDatabase, linkSilentMs: number]>
  refused?: (now: number) => boolean
  untilMs?: number
}

/** Time of the first promotion; undefined when there is none. */
function findPromotion ({ rank = 0, listReceived, refused: isRefused = () => false, untilMs = 5000 }: Scenario): number | undefined {
  const databases = members.map((name) => new FakeDatabase(name))
  for (const database of databases) database.primary = 'a'
  Object.assign(databases[0] as FakeDatabase, { role: 'primary' })
  const monitor = GroupMonitor.create({ members, rank, now: 0 })
  for (const { status } of databases) monitor.handle({ type: 'status', status }, 0)
  for (let now = 25; now <= untilMs; now += 25) {
    const effects: MonitorEffect[] = []
    if (now % 200 === 0) {
      for (const [database, linkSilentMs] of listReceived(now, databases)) {
        effects.push(...monitor.handle({ type: 'status', status: { ...database.status, linkSilentMs } }, now))
      }
    }
    if (isRefused(now)) effects.push(...monitor.handle({ type: 'refused', database: 'a' }, now))
    effects.push(...monitor.handle({ type: 'tick' }, now))
    if (effects.some(({ type }) => type === 'start-promotion')) return now
  }
  return undefined
}

describe('GroupMonitor', () => {
  it('starts a promotion when the primary is unresponsive here and at a replica, and later for candidates of a higher rank number', () => {
    const listReceived: Scenario['listReceived'] = (now, [, b, c]) => [[b as FakeDatabase, now], [c as FakeDatabase, now]]
    const first = findPromotion({ listReceived }) as number
    assert.equal(first, 600)
    assert.equal(findPromotion({ listReceived, rank: 2 }), first + 500)
  })

  // Guards against replacing a primary that is only slow, while its replicas still receive heartbeats.
  it('does not suspect a database that does not respond but still replicates', () => {
    assert.equal(findPromotion({ listReceived: (_, [, b, c]) => [[b as FakeDatabase, 50], [c as FakeDatabase, 50]] }), undefined)
  })

  it('does not suspect a slow primary whose responses are late while replication has stopped', () => {
    assert.equal(findPromotion({ listReceived: (now, databases) => now % 400 === 0 ? databases.map((database) => [database, now % 1600]) : [] }), undefined)
  })

  // Guards against keeping a primary that responds to its proxy but reaches no replica, so that no write is acknowledged.
  it('replaces a primary that responds but has reached no replica for three times the limit', () => {
    assert.equal(findPromotion({ listReceived: (now, databases) => databases.map((database) => [database, now]) }), 1800)
    assert.equal(findPromotion({ listReceived: (now, databases) => databases.map((database, index) => [database, index === 2 ? now : 0]) }), undefined)
  })

  // Guards against a partitioned proxy that repeatedly raises the term.
  it('starts no promotion when the proxy is partitioned from all members, or together with the old primary from the others', () => {
    assert.equal(findPromotion({ listReceived: (_, [a]) => [[a as FakeDatabase, 0]] }), undefined)
    assert.equal(findPromotion({ listReceived: () => [] }), undefined)
    assert.equal(findPromotion({ listReceived: () => [], refused: (now) => now > 600 }), undefined)
  })

  it('starts a promotion immediately when the port of the primary refuses connections and a replica responds', () => {
    assert.equal(findPromotion({ listReceived: (_, [, b]) => [[b as FakeDatabase, 0]], refused: (now) => now >= 250 }), 250)
  })

  it('starts no promotion for a primary that flaps faster than the limit', () => {
    const listReceived: Scenario['listReceived'] = (now, databases) => databases.slice(now % 600 === 0 ? 0 : 1).map((database) => [database, now % 600])
    assert.equal(findPromotion({ listReceived }), undefined)
  })

  // Guards against a group that stays without a primary after a candidate stopped between raising the term and promoting.
  it('starts a promotion for a raised term only after the time of a complete attempt, counted anew for each term', () => {
    let term = 1
    const listReceived: Scenario['listReceived'] = (now, databases) => {
      if (now === 200 || now === 600) term++
      for (const database of databases) database.raiseTerm(term)
      return databases.map((database) => [database, 0])
    }
    assert.equal(findPromotion({ listReceived }), 1200)
  })

  // Guards against a second promotion when replicas still report the link silence of the previous primary.
  it('starts no promotion while a new primary has not yet reached its replicas', () => {
    const listReceived: Scenario['listReceived'] = (now, databases) => {
      if (now === 1800) {
        for (const database of databases) database.raiseTerm(2)
        databases[1]?.promote(2)
        for (const index of [0, 2]) databases[index]?.follow(2, 'b')
      }
      return databases.map((database) => [database, database.name === 'b' || now > 2400 ? 0 : now])
    }
    assert.equal(findPromotion({ listReceived, untilMs: 4000 }), undefined)
  })

  it('makes an old primary and a replica without a primary follow the new primary', () => {
    const [a, b, c] = members.map((name) => new FakeDatabase(name)) as [FakeDatabase, FakeDatabase, FakeDatabase]
    a.role = 'primary'
    for (const database of [b, c]) database.raiseTerm(2)
    b.promote(2)
    const monitor = GroupMonitor.create({ members, rank: 0, now: 0 })
    const effects: MonitorEffect[] = []
    for (let now = 0; now <= 600; now += 100) {
      for (const { status } of [a, b, c]) effects.push(...monitor.handle({ type: 'status', status }, now))
    }
    assert.deepEqual(effects, ['a', 'c'].map((database) => ({ type: 'follow', database, term: 2, primary: 'b' })))
  })
})
