import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { StoreChange } from '@tanagerusher/coordination/common/store-change'
import { delay } from '../src/program/delay.js'
import { ObjectWatcher } from '../src/store/object-watcher.js'

type Watched = StoreResult<{ revision: number, changes: StoreChange[] }>

const KIND = 'kind'
const UNUSED = async (): Promise<never> => { throw new Error('not called') }

/** A store whose watches are resolved by the test. */
class ManualStore implements ObjectStore {
  revision = 10
  readonly watches: Array<(result: Watched) => void> = []

  async list (): Promise<StoreResult<{ revision: number, objects: Array<{ name: string, revision: number, value: unknown }> }>> {
    return { type: 'ok', value: { revision: this.revision, objects: [{ name: 'a', revision: this.revision, value: `v${this.revision}` }] } }
  }

  async watch (): Promise<Watched> {
    return await new Promise((resolve) => { this.watches.push(resolve) })
  }

  create = UNUSED
  replace = UNUSED
  remove = UNUSED
  close (): void {}
}

const logger = { info: () => {}, warn: () => {} } as never

// Guards against hosts whose copies stay unconfirmed for two watches after a clock step, and against a watch that was sent before it
// and whose response overwrites a newer list.
test('a relay lists immediately after a clock step and ignores the result of an earlier watch', async () => {
  const store = new ManualStore()
  const confirmations: number[] = []
  const values: unknown[] = []
  const watcher = ObjectWatcher.create({
    store,
    kind: KIND,
    waitMs: 1000,
    relays: { isSelfRelay: true, hostCount: 1 } as never,
    clock: { readTime: () => performance.now() },
    logger,
    events: { handleChanged: (changed) => { values.push(...changed.map(({ value }) => value)) }, handleConfirmed: (confirmedAt) => { confirmations.push(confirmedAt) } }
  })
  void watcher.run()
  await delay(100)
  assert.equal(store.watches.length, 1)
  const countBefore = confirmations.length
  store.revision = 20
  watcher.invalidateConfirmation()
  await delay(20)
  assert.equal(confirmations.length, countBefore + 1)
  store.watches[0]?.({ type: 'ok', value: { revision: 11, changes: [{ object: { name: 'a', revision: 11, value: 'v11' }, isRemoved: false }] } })
  await delay(100)
  assert.deepEqual(values, ['v10', 'v20'])
  assert.equal(watcher.listChanges(0).changed[0]?.value, 'v20')
  watcher.close()
  for (const resolve of store.watches) resolve({ type: 'rejected', reason: 'closed' })
})

test('a watch response that is older than changes fetched from another host does not revert them', async () => {
  const store = new ManualStore()
  const values: unknown[] = []
  const watcher = ObjectWatcher.create({
    store,
    kind: KIND,
    waitMs: 1000,
    relays: { isSelfRelay: true, hostCount: 2 } as never,
    clock: { readTime: () => performance.now() },
    logger,
    events: { handleChanged: (changed) => { values.push(...changed.map(({ value }) => value)) } }
  })
  void watcher.run()
  await delay(100)
  const link = { record: { host: 'h2' }, request: async () => ({ era: 0, revision: 20, names: ['a'], changed: [{ name: 'a', revision: 20, value: 'v20' }] }) }
  watcher.handlePeerState(link as never, { era: 0, revision: 20, digest: 1, ageMs: 0, returnAgeMs: 1e9 }, performance.now())
  await delay(20)
  store.watches[0]?.({ type: 'ok', value: { revision: 11, changes: [{ object: { name: 'a', revision: 11, value: 'v11' }, isRemoved: false }] } })
  await delay(100)
  assert.deepEqual(values, ['v10', 'v20'])
  assert.equal(watcher.findObject('a')?.value, 'v20')
  watcher.close()
  for (const resolve of store.watches) resolve({ type: 'rejected', reason: 'closed' })
})
