import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { DatabaseOwner } from '../src/upstream/database-owner.js'
import { buildExecuteParams } from './fixtures/build-execute-params.js'
import type { ExecutedRun } from './fixtures/fake-database-session.js'
import { openFakeOwner } from './fixtures/open-fake-owner.js'

type Change =
  | { type: 'set', name: string, value: string }
  | { type: 'prepare', name: string, shape: string }

type Step =
  | Change
  | { type: 'single', access: 'read' | 'write', isOnReplica: boolean, isPrepared: boolean }
  /** A statement at the beginning and after each change. */
  | { type: 'transaction', changes: Change[], isPrepared: boolean, ending: 'commit' | 'rollback' }
  | { type: 'probe' }
  | { type: 'status' }

interface Expectation { state: ExecutedRun['state'], values: Record<string, string>, shape: string | undefined }

const SEED = 47
const SCHEDULES = 400
const FAILURES: readonly StatementFailure[] = ['busy', 'busy', 'not-primary', 'failed', 'timeout', 'malformed']
const replicaRead = { maxStalenessMs: 1000, floor: { term: 1, position: 1 } }

const name = fc.constantFrom('a', 'b')
const change: fc.Arbitrary<Change> = fc.oneof(
  fc.record({ type: fc.constant('set' as const), name, value: fc.constantFrom('1', '2', '3') }),
  fc.record({ type: fc.constant('prepare' as const), name, shape: fc.constantFrom('q1', 'q2') })
)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 2, arbitrary: change },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('single' as const), access: fc.constantFrom('read' as const, 'write' as const), isOnReplica: fc.boolean(), isPrepared: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('transaction' as const), changes: fc.array(change, { maxLength: 3 }), isPrepared: fc.boolean(), ending: fc.constantFrom('commit' as const, 'rollback' as const) }) },
  fc.record({ type: fc.constantFrom('probe' as const, 'status' as const) })
)
const schedule = fc.record({
  sessions: fc.array(fc.array(step, { minLength: 1, maxLength: 8 }), { minLength: 1, maxLength: 4 }),
  /** Index of the failure of each command, in the order of their execution; beyond the list of failures a command succeeds. */
  fates: fc.array(fc.integer({ min: 0, max: 3 * FAILURES.length }), { minLength: 60, maxLength: 60 })
})

/** One caller's session: what was acknowledged to it, and the statements that it sends. */
class FakeCaller {
  readonly #owner: DatabaseOwner
  readonly #name: string
  readonly #expectations: Map<string, Expectation>
  readonly #values = new Map<string, string>()
  readonly #prepared = new Map<string, string>()
  #count = 0

  private constructor (owner: DatabaseOwner, callerName: string, expectations: Map<string, Expectation>) {
    this.#owner = owner
    this.#name = callerName
    this.#expectations = expectations
  }

  static create (owner: DatabaseOwner, callerName: string, expectations: Map<string, Expectation>): FakeCaller {
    return new FakeCaller(owner, callerName, expectations)
  }

  async run (current: Step): Promise<void> {
    switch (current.type) {
      case 'set': this.#values.set(current.name, current.value); break
      case 'prepare': this.#prepared.set(current.name, current.shape); break
      case 'probe': await this.#owner.probe(); break
      case 'status': await this.#owner.runControl({ type: 'status' }); break
      case 'single': await this.#runSingle(current); break
      case 'transaction': await this.#runTransaction(current)
    }
  }

  async #runSingle ({ access, isOnReplica, isPrepared }: Extract<Step, { type: 'single' }>): Promise<void> {
    const usesReplica = isOnReplica && access === 'read'
    const state = access === 'read' && !usesReplica ? 'transaction' : 'idle'
    await this.#execute({ access, transaction: 'none', isPrepared, state, session: this.#name, options: usesReplica ? { replicaRead } : {} })
  }

  async #runTransaction ({ changes, isPrepared, ending }: Extract<Step, { type: 'transaction' }>): Promise<void> {
    const session = `${this.#name}.${++this.#count}`
    for (const changed of [undefined, ...changes]) {
      if (changed !== undefined) await this.run(changed)
      const answer = await this.#execute({ access: 'write', transaction: changed === undefined ? 'opens' : 'joins', isPrepared, state: 'transaction', session })
      if (answer.type !== 'done') return
    }
    await this.#owner.execute(buildExecuteParams(ending === 'commit' ? { type: 'commit', id: `${session}.commit` } : { type: 'rollback' }, { session }))
  }

  async #execute ({ access, transaction, isPrepared, state, session, options = {} }: {
    access: 'read' | 'write', transaction: 'none' | 'opens' | 'joins', isPrepared: boolean, state: ExecutedRun['state'], session: string, options?: Partial<UpstreamExecuteParams>
  }): Promise<StatementResponse> {
    const id = `${this.#name}-${++this.#count}`
    const [prepared, shape] = isPrepared ? [...this.#prepared][0] ?? [] : []
    const text = prepared === undefined ? `${access.toUpperCase()} x` : `EXECUTE ${prepared} x`
    const values = [...this.#values]
    this.#expectations.set(id, { state, values: Object.fromEntries(values), shape })
    const needed = prepared === undefined || shape === undefined ? undefined : { name: prepared, access, shape }
    const { answer } = await this.#owner.execute(buildExecuteParams({ type: 'run', id, text, access, transaction, isReadOnly: false }, { session, values, needed, ...options }))
    assert.ok(answer.type !== 'failed' || answer.failure !== 'unknown-statement', `${id} got unknown-statement`)
    return answer
  }
}

// Guards against statements that run with other values, another shape or in another transaction than their caller's, whichever commands the database refuses.
test('whichever commands fail, statements run with the values, the prepared statement and the transaction of their session', async () => {
  await fc.assert(fc.asyncProperty(schedule, async ({ sessions, fates }) => {
    const { owner, runs, database } = openFakeOwner()
    const remaining = [...fates]
    database.findFailure = () => FAILURES[remaining.shift() ?? FAILURES.length]
    const expectations = new Map<string, Expectation>()
    await Promise.all(sessions.map(async (steps, index) => {
      const caller = FakeCaller.create(owner, `s${index}`, expectations)
      for (const current of steps) await caller.run(current)
    }))
    owner.close()
    for (const { id, ...actual } of runs) assert.deepEqual(actual, expectations.get(id), id)
  }), { seed: SEED, numRuns: SCHEDULES })
})
