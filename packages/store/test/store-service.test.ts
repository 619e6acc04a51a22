import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { HttpPlatformStore } from '@tanagerusher/transport/store/http-platform-store'
import { StoreService } from '../src/process/store-service.js'
import { storeSettingsSchema } from '../src/settings/store-settings.js'

let now = 0
let service: StoreService
let store: HttpPlatformStore

async function setFaults (faults: object): Promise<void> {
  const response = await fetch(`http://127.0.0.1:${service.controlPort}/faults`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(faults) })
  assert.equal(response.status, 200, await response.text())
}

async function readStatistics (): Promise<{ waitingWatches: number, callers: Record<string, Record<string, number>> }> {
  return await (await fetch(`http://127.0.0.1:${service.controlPort}/statistics`)).json() as never
}

describe('StoreService with HttpPlatformStore', () => {
  before(async () => {
    const settings = storeSettingsSchema.parse({ port: 0, controlPort: 0, hostListDelayMs: 100, readsPerSecond: 60, writesPerSecond: 60 })
    service = await StoreService.start(settings, { readTime: () => now })
    store = HttpPlatformStore.create({ url: `http://127.0.0.1:${service.port}`, caller: 'h1', timeoutMs: 60_000 })
  })
  after(async () => {
    await store.close()
    await service.close()
  })
  // Every test calls this first to refill the call budget, because the clock of the store does not advance by itself.
  const advanceClock = (): void => { now += 10_000 }

  // Guards against concurrent updates that both succeed, so that one overwrites the other without an error.
  it('accepts exactly one of two writes that expect the same version', async () => {
    advanceClock()
    const created = await store.write('entry', 'gate', { owner: null }, 0)
    const outcomes = await Promise.allSettled([1, 2].map((n) => store.write('entry', 'gate', { n }, created.version)))
    assert.deepEqual(outcomes.map(({ status }) => status).sort(), ['fulfilled', 'rejected'])
    await assert.rejects(store.write('entry', 'gate', {}, 0), { kind: 'version-conflict' })
    await assert.rejects(store.remove('entry', 'gate', created.version), { kind: 'version-conflict' })
  })

  // Guards against a version counter per object, which would not order changes of different objects.
  it('orders changes of all kinds by one counter and returns deletions to a watch from any version', async () => {
    advanceClock()
    const { version } = await store.list(['key'])
    const first = await store.write('key', 'k1', { generation: 1 }, 0)
    const other = await store.write('organisation', 'o1', { rate: 1 }, 0)
    await store.remove('key', 'k1', first.version)
    assert.equal(await store.read('key', 'k1'), null)
    const { changes, version: watchedVersion } = await store.watch(['key', 'organisation'], version, 0)
    assert.deepEqual(changes.map((change) => change.type), ['put', 'put', 'delete'])
    assert.equal(other.version, first.version + 1)
    assert.equal(watchedVersion, other.version + 1)
    assert.deepEqual((await store.list(['key', 'organisation'])).objects.map(({ name }) => name), ['o1'])
  })

  // Guards against a watch that misses a change made while it waits, or that returns for a change of a kind it does not cover.
  it('completes a waiting watch when an object of one of its kinds changes, and not for other kinds', async () => {
    advanceClock()
    const { version } = await store.list([])
    const watch = store.watch(['fleet', 'group'], version, 60_000)
    while ((await readStatistics()).waitingWatches === 0) await new Promise((resolve) => { setImmediate(resolve) })
    await store.write('entry', 'other', {}, 0)
    assert.equal((await readStatistics()).waitingWatches, 1)
    const written = await store.write('group', 'g1', { databases: [] }, 0)
    assert.deepEqual((await watch).changes, [{ type: 'put', object: written }])
    assert.deepEqual((await store.watch(['fleet'], written.version, 1)).changes, [])
  })

  // Guards against a client that reports a missing object or an empty list when the store is unavailable.
  it('rejects calls with store-unavailable during an outage and ends waiting watches', async () => {
    advanceClock()
    const { version } = await store.list([])
    const watch = store.watch(['fleet'], version, 60_000)
    while ((await readStatistics()).waitingWatches === 0) await new Promise((resolve) => { setImmediate(resolve) })
    const ended = assert.rejects(watch, { kind: 'store-unavailable' })
    await setFaults({ outage: 'refuse' })
    await ended
    await assert.rejects(store.read('fleet', 'f'), { kind: 'store-unavailable' })
    await setFaults({ outage: 'silent' })
    const clientWithShortTimeout = HttpPlatformStore.create({ url: `http://127.0.0.1:${service.port}`, caller: 'h2', timeoutMs: 20 })
    await assert.rejects(clientWithShortTimeout.list(['fleet']), { kind: 'store-unavailable' })
    await clientWithShortTimeout.close()
    await setFaults({})
    assert.equal(await store.read('fleet', 'f'), null)
  })

  // Guards against a writer that treats a lost response as a write that had no effect.
  it('drops the response of a write that took effect', async () => {
    advanceClock()
    await setFaults({ lostAnswers: { next: 1 } })
    await assert.rejects(store.write('fleet', 'lost', { n: 1 }, 0), { kind: 'store-unavailable' })
    assert.deepEqual((await store.read('fleet', 'lost'))?.value, { n: 1 })
    await assert.rejects(store.write('fleet', 'lost', { n: 2 }, 0), { kind: 'version-conflict' })
  })

  // Guards against a configuration replica that assumes that watch responses contain every change exactly once.
  it('skips and repeats changes of a watch, the same ones for the same seed', async () => {
    advanceClock()
    const { version } = await store.list([])
    for (let n = 0; n < 20; n++) await store.write('entry', `e${n}`, {}, 0)
    const readWithFaults = async (): Promise<string[]> => {
      await setFaults({ watch: { skipRatio: 0.3, repeatRatio: 0.3 }, seed: 7 })
      const { changes, version: watchedVersion } = await store.watch(['entry'], version, 0)
      assert.equal(watchedVersion, version + 20)
      return changes.map((change) => change.type === 'put' ? change.object.name : '')
    }
    const names = await readWithFaults()
    assert.ok(new Set(names).size < 20 && names.length > new Set(names).size)
    assert.deepEqual(await readWithFaults(), names)
    await setFaults({})
  })

  // Guards against calls that are not metered: watches and rejected calls must be counted too.
  it('responds with 429 above the call budget and counts the calls of each caller', async () => {
    advanceClock()
    const outcomes = await Promise.allSettled(Array.from({ length: 61 }, () => store.read('fleet', 'f')))
    assert.equal(outcomes.filter(({ status }) => status === 'rejected').length, 1)
    const rejected = outcomes.find(({ status }) => status === 'rejected') as PromiseRejectedResult
    assert.match(rejected.reason.message, /429/)
    const { callers } = await readStatistics()
    assert.equal(callers['h1']?.['refused'], 1)
    assert.ok((callers['h1']?.['watches'] ?? 0) > 0 && (callers['h1']?.['conflicts'] ?? 0) > 0)
  })

  // Guards against values larger than the platform accepts, and against unconditional updates, which overwrite concurrent changes.
  it('rejects values above the size limit and updates without an expected version', async () => {
    advanceClock()
    await assert.rejects(store.write('fleet', 'big', 'x'.repeat(1_048_577), 0), { kind: 'object-invalid' })
    await store.write('fleet', 'big', 'x'.repeat(1_000_000), 0)
    const response = await fetch(`http://127.0.0.1:${service.port}/v1/objects/fleet/big`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: '{}' })
    assert.equal(response.status, 400)
  })

  // Guards against code that relies on the host list being current.
  it('lists a registered host only after the delay', async () => {
    advanceClock()
    await store.registerHost('h1', { address: '127.0.1.1', port: 7001, leaving: false })
    assert.deepEqual(await store.listHosts(), [])
    now += 100
    assert.deepEqual(await store.listHosts(), [{ host: 'h1', address: '127.0.1.1', port: 7001, leaving: false }])
    await store.removeHost('h1')
    assert.equal((await store.listHosts()).length, 1)
  })
})
