import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { StoreChange } from '@tanagerusher/coordination/common/store-change'
import { pause } from '../src/program/pause.js'
import { ObjectWatcher } from '../src/store/object-watcher.js'

type Watched = StoreResult<{ revision: number, changes: StoreChange[] }>

const KIND = 'kind'
const UNUSED = async (): Promise<never> => { throw new Error('not called') }

/** A store whose watches answer when the test says so. */
class ManualStore implements ObjectStore {
  revision = 10
  readonly watches: Array<(answer: Watched) => void> = []

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

// Guards against hosts without a proof for two watches after a step of the clock, and against old news that overtake a list.
test('a relay whose clocks moved lists at once, and a watch from before it brings nothing back', async () => {
  const store = new ManualStore()
  const proofs: number[] = []
  const values: unknown[] = []
  const logger = { info: () => {}, warn: () => {} }
  const watcher = ObjectWatcher.create({
    store,
    kind: KIND,
    waitMs: 1000,
    relays: { isSelf: true, hosts: 1 } as never,
    clock: { readTime: () => performance.now() },
    logger: logger as never,
    events: { handleChanged: (changed) => { values.push(...changed.map(({ value }) => value)) }, handleConfirmed: (provenAt) => { proofs.push(provenAt) } }
  })
  void watcher.run()
  await pause(100)
  assert.equal(store.watches.length, 1)
  const before = proofs.length
  store.revision = 20
  watcher.invalidateProof()
  await pause(20)
  assert.equal(proofs.length, before + 1)
  store.watches[0]?.({ type: 'ok', value: { revision: 11, changes: [{ object: { name: 'a', revision: 11, value: 'v11' }, isRemoved: false }] } })
  await pause(100)
  assert.deepEqual(values, ['v10', 'v20'])
  assert.equal(watcher.listChanges(0).changed[0]?.value, 'v20')
  watcher.close()
  for (const answer of store.watches) answer({ type: 'rejected', reason: 'closed' })
})
