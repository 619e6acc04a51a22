import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import fc from 'fast-check'
import { DatabaseMember } from '../src/member/database-member.js'
import { findCommonPosition } from '../src/replication/find-common-position.js'
import { tableDefinitionSchema } from '../src/ledger/table-definition.js'

const definition = tableDefinitionSchema.parse({ name: 't', columns: [{ name: 'id', type: 'text' }], primaryKey: ['id'], indexes: ['id'] })

function createMembers (): DatabaseMember[] {
  return ['a', 'b', 'c'].map((name) => DatabaseMember.create({ name, clock: { readTime: () => 0 }, initialPrimary: 'a', initialChanges: [{ type: 'create', definition }] }))
}

function insert (member: DatabaseMember, id: string): void {
  const transaction = member.begin(false)
  transaction.put(transaction.findTable('t'), id, [id])
  transaction.commit()
}

function listRows (member: DatabaseMember): string[] {
  return [...member.ledger.findTable('t').rows.keys()].sort()
}

/** Copies up to `limit` entries from a primary to a follower, as the replication link does. */
function replicate (from: DatabaseMember, to: DatabaseMember, limit: number): void {
  if (from.role !== 'primary' || !to.isFollowing(from.promisedTerm, from.name)) return
  const common = findCommonPosition({ history: to.listHistory(), position: to.last.position }, { history: from.listHistory(), position: from.last.position })
  to.truncate(common)
  assert.ok(to.receiveEntries(common, from.readEntries(common, limit)))
}

type Step =
  | { type: 'write', member: number }
  | { type: 'raise' | 'promote', member: number, term: number }
  | { type: 'follow', member: number, primary: number, term: number }
  | { type: 'replicate', from: number, to: number, limit: number }

const member = fc.nat(2)
const term = fc.integer({ min: 1, max: 5 })
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('write' as const), member }),
  fc.record({ type: fc.constantFrom('raise' as const, 'promote' as const), member, term }),
  fc.record({ type: fc.constant('follow' as const), member, primary: member, term }),
  fc.record({ type: fc.constant('replicate' as const), from: member, to: member, limit: fc.nat(3) })
)

type GroupStep =
  | { type: 'write' | 'observe', member: number }
  | { type: 'replicate', from: number, to: number, limit: number }
  | { type: 'elect', reached: number[], followers: number[] }

const groupStep: fc.Arbitrary<GroupStep> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constantFrom('write' as const, 'observe' as const), member }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('replicate' as const), from: member, to: member, limit: fc.nat(3) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('elect' as const), reached: fc.uniqueArray(member), followers: fc.uniqueArray(member) }) }
)

/** Runs a failover as in section 3.3 of the design, with a candidate that reaches only some members. */
function elect (reached: DatabaseMember[], followers: DatabaseMember[]): void {
  const term = Math.max(...reached.map(({ promisedTerm }) => promisedTerm)) + 1
  const granted = reached.filter((current) => current.raiseTerm(term).granted)
  if (granted.length < 2) return
  const chosen = granted.reduce((best, current) => comparePositions(current.last, best.last) > 0 ? current : best)
  if (!chosen.promote(term)) return
  for (const follower of followers) follower.follow(term, chosen.name)
}

/** Records the term of each position that a majority of members holds in that term, according to the observed statuses. */
function acknowledge (observed: Array<ReturnType<DatabaseMember['readStatus']>>, acknowledged: Map<number, number>): void {
  for (const { log: { term }, promisedTerm } of observed) {
    const positions = observed.filter((status) => status.log.term === term && status.promisedTerm === term && promisedTerm === term).map(({ log }) => log.position).sort((left, right) => right - left)
    const held = positions[1]
    if (held !== undefined && !acknowledged.has(held)) acknowledged.set(held, term)
  }
}

describe('DatabaseMember', () => {
  // Guards against a common position that is too high: a follower would then keep entries that its primary does not have.
  it('has equal logs up to the common position, and rows that match its log, when each term has one primary', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const members = createMembers()
      const primaries = new Map([[1, 0]])
      const get = (index: number): DatabaseMember => members[index] as DatabaseMember
      let rowCount = 0
      for (const current of steps) {
        if (current.type === 'write' && get(current.member).role === 'primary') insert(get(current.member), `row${rowCount++}`)
        if (current.type === 'raise') get(current.member).raiseTerm(current.term)
        if (current.type === 'promote' && (primaries.get(current.term) ?? current.member) === current.member &&
          get(current.member).promote(current.term)) primaries.set(current.term, current.member)
        if (current.type === 'follow') get(current.member).follow(current.term, get(current.primary).name)
        if (current.type === 'replicate') replicate(get(current.from), get(current.to), current.limit)
      }
      for (const [left, right] of [[0, 1], [1, 2], [0, 2]] as const) checkCommonPrefix(get(left), get(right))
      for (const current of members) checkRows(current)
    }), { seed: 20261204, numRuns: 2000 })
  })

  // Guards against the loss of an acknowledged write: the rules for promised terms, logs and truncation must preserve entries
  // that a majority held, also when the observed statuses are old and a candidate stops after any step.
  it('keeps the entries that a majority held in their term in the log of every later primary', () => {
    let acknowledgements = 0
    fc.assert(fc.property(fc.array(groupStep, { minLength: 20, maxLength: 100 }), (steps) => {
      const members = createMembers()
      const get = (index: number): DatabaseMember => members[index] as DatabaseMember
      const observed = members.map((current) => current.readStatus())
      const acknowledged = new Map<number, number>()
      let rowCount = 0
      for (const current of steps) {
        if (current.type === 'write' && get(current.member).role === 'primary') insert(get(current.member), `row${rowCount++}`)
        if (current.type === 'replicate') replicate(get(current.from), get(current.to), current.limit)
        if (current.type === 'elect') elect(current.reached.map(get), current.followers.map(get))
        if (current.type === 'observe') {
          observed[current.member] = get(current.member).readStatus()
          acknowledge(observed, acknowledged)
        }
        for (const primary of members.filter(({ role }) => role === 'primary')) {
          for (const [position, term] of acknowledged) {
            if (term < primary.promisedTerm) assert.equal(primary.readEntries(position - 1, 1)[0]?.term, term, `position ${position}`)
          }
        }
      }
      acknowledgements += acknowledged.size
    }), { seed: 20261204, numRuns: 3000 })
    // One per run on average; without acknowledgements the property would hold trivially.
    assert.ok(acknowledgements > 3000, `only ${acknowledgements} acknowledgements were checked`)
  })

  // Guards against a promised term that decreases, and against a database that is the primary of a term it has not promised.
  it('grants only higher terms and promotes only in the promised term', () => {
    const [a, b] = createMembers() as [DatabaseMember, DatabaseMember]
    assert.deepEqual(b.raiseTerm(3), { granted: true, promisedTerm: 3, log: { term: 1, position: 1 } })
    assert.equal(b.raiseTerm(3).granted, false)
    assert.equal(b.raiseTerm(2).granted, false)
    assert.equal(b.promote(2), false)
    assert.equal(b.promote(4), false)
    assert.equal(b.promote(3), true)
    assert.deepEqual(b.last, { term: 3, position: 2 })
    assert.equal(b.follow(3, 'a'), false)
    a.handleHigherTerm(3)
    assert.equal(a.role, 'replica')
    assert.equal(a.promote(1), false)
    assert.equal(a.raiseTerm(3).granted, true)
  })
})

function checkCommonPrefix (left: DatabaseMember, right: DatabaseMember): void {
  const common = findCommonPosition({ history: left.listHistory(), position: left.last.position }, { history: right.listHistory(), position: right.last.position })
  assert.deepEqual(left.readEntries(0, common), right.readEntries(0, common))
  const next = [left, right].map((current) => current.readEntries(common, 1)[0])
  assert.ok(next[0] === undefined || next[1] === undefined || next[0].term !== next[1].term)
}

/** Checks that the rows match the log, i.e. that truncations undid exactly the entries that they removed. */
function checkRows (current: DatabaseMember): void {
  const expected = current.readEntries(0, Infinity).flatMap(({ changes }) => changes.flatMap((change) => change.type === 'put' ? [change.key] : []))
  assert.deepEqual(listRows(current), expected.sort())
  for (const key of expected) assert.deepEqual([...current.ledger.findTable('t').findKeys(0, key)], [key])
}
