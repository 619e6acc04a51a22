import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { GroupMonitor, type MonitorEffect } from '../../src/failover/group-monitor.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']

interface Scene {
  rank?: number
  /** Members that answer, with the silence of their replication link, at each time. */
  heard: (now: number, databases: FakeDatabase[]) => Array<[database: FakeDatabase, linkSilentMs: number]>
  refused?: (now: number) => boolean
  untilMs?: number
}

/** Time of the first promotion, undefined when there is none. */
function findPromotion ({ rank = 0, heard, refused = () => false, untilMs = 5000 }: Scene): number | undefined {
  const databases = members.map((name) => new FakeDatabase(name))
  for (const database of databases) database.primary = 'a'
  Object.assign(databases[0] as FakeDatabase, { role: 'primary' })
  const monitor = GroupMonitor.create({ members, rank, now: 0 })
  for (const { status } of databases) monitor.handle({ type: 'status', status }, 0)
  for (let now = 25; now <= untilMs; now += 25) {
    const effects: MonitorEffect[] = []
    if (now % 200 === 0) {
      for (const [database, linkSilentMs] of heard(now, databases)) {
        effects.push(...monitor.handle({ type: 'status', status: { ...database.status, linkSilentMs } }, now))
      }
    }
    if (refused(now)) effects.push(...monitor.handle({ type: 'refused', database: 'a' }, now))
    effects.push(...monitor.handle({ type: 'tick' }, now))
    if (effects.some(({ type }) => type === 'start-promotion')) return now
  }
  return undefined
}

describe('GroupMonitor', () => {
  it('starts a promotion when the primary is silent here and at a replica, later for candidates further back', () => {
    const heard: Scene['heard'] = (now, [, b, c]) => [[b as FakeDatabase, now], [c as FakeDatabase, now]]
    const first = findPromotion({ heard }) as number
    assert.equal(first, 600)
    assert.equal(findPromotion({ heard, rank: 2 }), first + 500)
  })

  // Guards against replacing a primary that is only slow: its replicas still hear from it.
  it('does not suspect a database that answers nobody but still replicates', () => {
    assert.equal(findPromotion({ heard: (_, [, b, c]) => [[b as FakeDatabase, 50], [c as FakeDatabase, 50]] }), undefined)
  })

  it('does not suspect a slow primary whose answers come late while replication stands still', () => {
    assert.equal(findPromotion({ heard: (now, databases) => now % 400 === 0 ? databases.map((database) => [database, now % 1600]) : [] }), undefined)
  })

  // Guards against a primary that answers its proxy for ever but reaches no replica, so that nothing is acknowledged.
  it('replaces a primary that answers but has reached no replica for three times the limit', () => {
    assert.equal(findPromotion({ heard: (now, databases) => databases.map((database) => [database, now]) }), 1800)
    assert.equal(findPromotion({ heard: (now, databases) => databases.map((database, index) => [database, index === 2 ? now : 0]) }), undefined)
  })

  // Guards against a cut-off proxy that raises the term again and again.
  it('does nothing when old primary and proxy are cut off from all others, or the proxy from everybody', () => {
    assert.equal(findPromotion({ heard: (_, [a]) => [[a as FakeDatabase, 0]] }), undefined)
    assert.equal(findPromotion({ heard: () => [] }), undefined)
    assert.equal(findPromotion({ heard: () => [], refused: (now) => now > 600 }), undefined)
  })

  it('starts at once when the port of the primary refuses connections and a replica is heard', () => {
    assert.equal(findPromotion({ heard: (_, [, b]) => [[b as FakeDatabase, 0]], refused: (now) => now >= 250 }), 250)
  })

  it('does not react to a primary that flaps faster than the limit', () => {
    const heard: Scene['heard'] = (now, databases) => databases.slice(now % 600 === 0 ? 0 : 1).map((database) => [database, now % 600])
    assert.equal(findPromotion({ heard }), undefined)
  })

  // Guards against a group that stays without primary after a candidate stopped between its steps.
  it('takes over a raised term only after the time of a whole attempt, counted anew for each term', () => {
    let term = 1
    const heard: Scene['heard'] = (now, databases) => {
      if (now === 200 || now === 600) term++
      for (const database of databases) database.raiseTerm(term)
      return databases.map((database) => [database, 0])
    }
    assert.equal(findPromotion({ heard }), 1200)
  })

  // Guards against a second promotion because the replicas still report the silence of the primary before.
  it('gives a new primary the time to reach its replicas', () => {
    const heard: Scene['heard'] = (now, databases) => {
      if (now === 1800) {
        for (const database of databases) database.raiseTerm(2)
        databases[1]?.promote(2)
        for (const index of [0, 2]) databases[index]?.follow(2, 'b')
      }
      return databases.map((database) => [database, database.name === 'b' || now > 2400 ? 0 : now])
    }
    assert.equal(findPromotion({ heard, untilMs: 4000 }), undefined)
  })

  it('lets a returning old primary and a lost replica follow', () => {
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
