import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { CommitTracker } from '../../src/failover/commit-tracker.js'
import { Promotion, type PromotionEffect, type PromotionEvent } from '../../src/failover/promotion.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']

function callDatabase (databases: FakeDatabase[], effect: PromotionEffect): PromotionEvent | undefined {
  if (effect.type === 'ended') return undefined
  const { database, term } = effect
  const target = databases.find(({ name }) => name === database)
  if (target === undefined) return effect.type === 'raise-term' ? { type: 'raise-failed', database, term } : { type: 'promote-failed', database, term }
  if (effect.type === 'raise-term') return { type: 'raise-completed', database, term, ...target.raiseTerm(term) }
  if (effect.type === 'promote') return { type: 'promote-completed', database, term, promoted: target.promote(term) }
  target.follow(term, effect.primary)
  return undefined
}

/** Runs a promotion to its end without faults and returns its `ended` effect. */
function runPromotion (promotion: Promotion, databases: FakeDatabase[], highestTerm: number): PromotionEffect | undefined {
  let now = 0
  let last: PromotionEffect | undefined
  const queue = promotion.handle({ type: 'start', highestTerm }, now)
  while (promotion.isRunning || queue.length > 0) {
    const effect = queue.shift()
    const event = effect === undefined ? { type: 'tick' as const } : callDatabase(databases, effect)
    if (effect === undefined) now = promotion.findNextDeadline() as number
    if (event !== undefined) queue.push(...promotion.handle(event, now))
    if (effect?.type === 'ended') last = effect
  }
  return last
}

describe('Promotion', () => {
  // Guards against losing acknowledged writes to a longer log whose entries no majority ever held.
  it('prefers a log of a higher term to a longer log of an old term', () => {
    const databases = [new FakeDatabase('a', [1, 1, 1, 1, 1]), new FakeDatabase('b', [1, 1, 2]), new FakeDatabase('c', [1, 1])]
    for (const database of databases) database.promisedTerm = 2
    const ended = runPromotion(Promotion.create({ members, seed: 1 }), databases, 2)
    assert.deepEqual({ ...ended, retryAfterMs: 0 }, { type: 'ended', succeeded: true, term: 3, primary: 'b', retryAfterMs: 0, reason: 'promoted' })
    assert.deepEqual(databases.map(({ primary }) => primary), ['b', 'b', 'b'])
  })

  // Guards against choosing the nearest replica although it lacks acknowledged writes.
  it('chooses the longest log wherever it is, and the first member among equal logs', () => {
    const remote = [new FakeDatabase('a', [1]), new FakeDatabase('b', [1]), new FakeDatabase('c', [1, 1])]
    assert.equal((runPromotion(Promotion.create({ members, seed: 1 }), remote, 1) as { primary: string }).primary, 'c')
    const equal = members.map((name) => new FakeDatabase(name, [1, 1]))
    assert.equal((runPromotion(Promotion.create({ members: ['b', 'a', 'c'], seed: 1 }), equal, 1) as { primary: string }).primary, 'b')
  })

  // Guards against promoting a primary again that responds to the candidate but reaches no replica.
  it('excludes the suspected primary only when the other members form a majority', () => {
    const all = [new FakeDatabase('a', [1, 1, 1]), new FakeDatabase('b', [1, 1]), new FakeDatabase('c', [1])]
    assert.equal((runPromotion(Promotion.create({ members, seed: 1, avoid: 'a' }), all, 1) as { primary: string }).primary, 'b')
    const two = [new FakeDatabase('a', [1, 1, 1]), new FakeDatabase('c', [1])]
    assert.equal((runPromotion(Promotion.create({ members, seed: 1, avoid: 'a' }), two, 1) as { primary: string }).primary, 'a')
  })

  it('promotes no database when only one of three responds', () => {
    const alone = [new FakeDatabase('a', [1, 1])]
    const ended = runPromotion(Promotion.create({ members, seed: 1 }), alone, 1) as Extract<PromotionEffect, { type: 'ended' }>
    assert.equal(ended.succeeded, false)
    assert.ok(ended.retryAfterMs > 0)
    assert.equal(alone[0]?.role, 'replica')
  })

  // Guards against a second primary made by a candidate that resumes with an outdated decision.
  it('is fenced when its process was paused between raising the term and promoting', () => {
    const databases = members.map((name) => new FakeDatabase(name, [1, 1]))
    const paused = Promotion.create({ members, seed: 1 })
    const raised = paused.handle({ type: 'start', highestTerm: 1 }, 0).map((effect) => callDatabase(databases, effect) as PromotionEvent)
    const [promote] = raised.flatMap((event) => paused.handle(event, 1))
    runPromotion(Promotion.create({ members, seed: 2 }), databases, 2)
    const response = callDatabase(databases, promote as PromotionEffect) as PromotionEvent
    assert.equal((paused.handle(response, 5000)[0] as { succeeded: boolean }).succeeded, false)
    assert.deepEqual(databases.filter(({ role }) => role === 'primary').map(({ name, promisedTerm }) => [name, promisedTerm]), [['a', 3]])
  })

  it('repeats a promotion in the same term when its response was lost after it took effect', () => {
    const databases = members.map((name) => new FakeDatabase(name, [1, 1]))
    const promotion = Promotion.create({ members, seed: 1 })
    const raised = promotion.handle({ type: 'start', highestTerm: 1 }, 0).map((effect) => callDatabase(databases, effect) as PromotionEvent)
    const [promote] = raised.flatMap((event) => promotion.handle(event, 1))
    callDatabase(databases, promote as PromotionEffect)
    const [again] = promotion.handle({ type: 'promote-failed', database: 'a', term: 2 }, 50)
    assert.deepEqual(again, promote)
    const ended = promotion.handle(callDatabase(databases, again as PromotionEffect) as PromotionEvent, 60).at(-1)
    assert.equal((ended as { succeeded: boolean }).succeeded, true)
    assert.deepEqual(databases[0]?.entries, [1, 1, 2])
  })

  // Guards against two primaries in one term and against the loss of an acknowledged write when messages are reordered, lost and delayed.
  it('keeps one primary per term and every acknowledged write with three candidates in random interleavings', () => {
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
      const response = isLostBefore ? undefined : callDatabase(databases, effect)
      if (response !== undefined && pick(8) !== 0) handle(target, response, now)
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
