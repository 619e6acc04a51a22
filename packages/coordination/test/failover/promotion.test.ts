import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { CommitTracker } from '../../src/failover/commit-tracker.js'
import { Promotion, type PromotionEffect, type PromotionEvent } from '../../src/failover/promotion.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']

function call (databases: FakeDatabase[], effect: PromotionEffect): PromotionEvent | undefined {
  if (effect.type === 'ended') return undefined
  const { database, term } = effect
  const target = databases.find(({ name }) => name === database)
  if (target === undefined) return effect.type === 'raise-term' ? { type: 'raise-failed', database, term } : { type: 'promote-failed', database, term }
  if (effect.type === 'raise-term') return { type: 'raise-answered', database, term, ...target.raiseTerm(term) }
  if (effect.type === 'promote') return { type: 'promote-answered', database, term, promoted: target.promote(term) }
  target.follow(term, effect.primary)
  return undefined
}

/** Runs a promotion to its end without faults; returns the last effect. */
function run (promotion: Promotion, databases: FakeDatabase[], highestTerm: number): PromotionEffect | undefined {
  let now = 0
  let last: PromotionEffect | undefined
  const queue = promotion.handle({ type: 'start', highestTerm }, now)
  while (promotion.isRunning || queue.length > 0) {
    const effect = queue.shift()
    const event = effect === undefined ? { type: 'tick' as const } : call(databases, effect)
    if (effect === undefined) now = promotion.findNextDeadline() as number
    if (event !== undefined) queue.push(...promotion.handle(event, now))
    if (effect?.type === 'ended') last = effect
  }
  return last
}

describe('Promotion', () => {
  // Guards against losing acknowledged writes to a longer log of entries that no majority ever held.
  it('prefers a log of a higher term to a longer log of an old term', () => {
    const databases = [new FakeDatabase('a', [1, 1, 1, 1, 1]), new FakeDatabase('b', [1, 1, 2]), new FakeDatabase('c', [1, 1])]
    for (const database of databases) database.promisedTerm = 2
    const ended = run(Promotion.create({ members, seed: 1 }), databases, 2)
    assert.deepEqual({ ...ended, retryAfterMs: 0 }, { type: 'ended', succeeded: true, term: 3, primary: 'b', retryAfterMs: 0, reason: 'promoted' })
    assert.deepEqual(databases.map(({ primary }) => primary), ['b', 'b', 'b'])
  })

  // Guards against choosing by distance: the nearest replica may lack acknowledged writes.
  it('chooses the longest log in another region, and the first of equal logs', () => {
    const remote = [new FakeDatabase('a', [1]), new FakeDatabase('b', [1]), new FakeDatabase('c', [1, 1])]
    assert.equal((run(Promotion.create({ members, seed: 1 }), remote, 1) as { primary: string }).primary, 'c')
    const equal = members.map((name) => new FakeDatabase(name, [1, 1]))
    assert.equal((run(Promotion.create({ members: ['b', 'a', 'c'], seed: 1 }), equal, 1) as { primary: string }).primary, 'b')
  })

  // Guards against electing a primary again that answers the candidate but reaches no replica.
  it('leaves the suspect out only when the others are a majority', () => {
    const all = [new FakeDatabase('a', [1, 1, 1]), new FakeDatabase('b', [1, 1]), new FakeDatabase('c', [1])]
    assert.equal((run(Promotion.create({ members, seed: 1, avoid: 'a' }), all, 1) as { primary: string }).primary, 'b')
    const two = [new FakeDatabase('a', [1, 1, 1]), new FakeDatabase('c', [1])]
    assert.equal((run(Promotion.create({ members, seed: 1, avoid: 'a' }), two, 1) as { primary: string }).primary, 'a')
  })

  it('promotes nobody when only one database is left', () => {
    const alone = [new FakeDatabase('a', [1, 1])]
    const ended = run(Promotion.create({ members, seed: 1 }), alone, 1) as Extract<PromotionEffect, { type: 'ended' }>
    assert.equal(ended.succeeded, false)
    assert.ok(ended.retryAfterMs > 0)
    assert.equal(alone[0]?.role, 'replica')
  })

  // Guards against a candidate that wakes up with an old decision and makes a second primary.
  it('is fenced when it was paused between raising the term and promoting', () => {
    const databases = members.map((name) => new FakeDatabase(name, [1, 1]))
    const paused = Promotion.create({ members, seed: 1 })
    const raised = paused.handle({ type: 'start', highestTerm: 1 }, 0).map((effect) => call(databases, effect) as PromotionEvent)
    const [promote] = raised.flatMap((event) => paused.handle(event, 1))
    run(Promotion.create({ members, seed: 2 }), databases, 2)
    const answer = call(databases, promote as PromotionEffect) as PromotionEvent
    assert.equal((paused.handle(answer, 5000)[0] as { succeeded: boolean }).succeeded, false)
    assert.deepEqual(databases.filter(({ role }) => role === 'primary').map(({ name, promisedTerm }) => [name, promisedTerm]), [['a', 3]])
  })

  it('repeats a promotion whose answer was lost after it took effect, in the same term', () => {
    const databases = members.map((name) => new FakeDatabase(name, [1, 1]))
    const promotion = Promotion.create({ members, seed: 1 })
    const raised = promotion.handle({ type: 'start', highestTerm: 1 }, 0).map((effect) => call(databases, effect) as PromotionEvent)
    const [promote] = raised.flatMap((event) => promotion.handle(event, 1))
    call(databases, promote as PromotionEffect)
    const [again] = promotion.handle({ type: 'promote-failed', database: 'a', term: 2 }, 50)
    assert.deepEqual(again, promote)
    const ended = promotion.handle(call(databases, again as PromotionEffect) as PromotionEvent, 60).at(-1)
    assert.equal((ended as { succeeded: boolean }).succeeded, true)
    assert.deepEqual(databases[0]?.entries, [1, 1, 2])
  })

  // Guards against two primaries in one term and against losing an acknowledged write, under random order, loss and delay.
  it('keeps one primary a term and every acknowledged write with three candidates in random interleavings', () => {
    for (let seed = 1; seed <= 300; seed++) runInterleaving(seed)
  })
})

function runInterleaving (seed: number): void {
  const random = xorshift128plus(seed)
  const pick = (limit: number): number => uniformInt(random, 0, limit - 1)
  const databases = members.map((name) => new FakeDatabase(name))
  Object.assign(databases[0] as FakeDatabase, { role: 'primary', primary: 'a' })
  for (const database of databases.slice(1)) database.primary = 'a'
  const candidates = members.map((_, index) => Promotion.create({ members, seed: seed + index }))
  const messages: Array<{ candidate: Promotion, effect: PromotionEffect }> = []
  const tracker = CommitTracker.create({ members })
  const acknowledged: Array<{ term: number, position: number }> = []
  const written = new Map<string, { term: number, position: number }>()
  const primaries = new Map<number, string>()
  const handle = (candidate: Promotion, event: PromotionEvent, now: number): void => {
    for (const effect of candidate.handle(event, now)) messages.push({ candidate, effect })
  }
  for (let now = 0; now < 400; now++) {
    const database = databases[pick(3)] as FakeDatabase
    const candidate = candidates[pick(3)] as Promotion
    const action = pick(12)
    if (action === 0 && !candidate.isRunning) handle(candidate, { type: 'start', highestTerm: database.promisedTerm }, now)
    else if (action === 1) handle(candidate, { type: 'tick' }, now * 10)
    else if (action < 6 && messages.length > 0) {
      const [{ candidate: target, effect }] = messages.splice(pick(messages.length), 1) as [typeof messages[number]]
      const isLostBefore = pick(8) === 0
      const answer = isLostBefore ? undefined : call(databases, effect)
      if (answer !== undefined && pick(8) !== 0) handle(target, answer, now)
      else if (effect.type === 'promote') handle(target, { type: 'promote-failed', database: effect.database, term: effect.term }, now)
    } else if (action < 8) {
      const position = database.write()
      if (position === undefined) continue
      const id = `${position.term}/${position.position}`
      written.set(id, position)
      tracker.handle({ type: 'register', id, position, deadline: Infinity }, now)
    } else {
      database.replicate(databases[pick(3)] as FakeDatabase, 1 + pick(3))
      for (const effect of tracker.handle({ type: 'status', status: database.status }, now)) {
        if (effect.type === 'acknowledge') acknowledged.push(written.get(effect.id) as { term: number, position: number })
      }
    }
    for (const { role, name, log, promisedTerm } of databases) {
      if (role !== 'primary' || log.term !== promisedTerm) continue
      assert.equal(primaries.get(log.term) ?? name, name, `seed ${seed}: two primaries in term ${log.term}`)
      primaries.set(log.term, name)
    }
  }
  const newest = databases.filter(({ role }) => role === 'primary').sort((left, right) => right.log.term - left.log.term)[0]
  for (const { term, position } of acknowledged) {
    if (newest !== undefined && newest.log.term >= term) assert.equal(newest.entries[position - 1], term, `seed ${seed}: lost (${term}, ${position})`)
  }
}
