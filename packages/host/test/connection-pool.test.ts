import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { ConnectionPool } from '../src/upstream/connection-pool.js'

// Guards against a process that ends because opening a connection throws, and against requests that then wait until their timeout.
test('a connector that throws refuses the waiting requests as unreachable', async () => {
  const pool = ConnectionPool.create({
    record: { id: 'd', group: 'g', address: '127.0.0.1:99999', dataCentre: 'a', slots: 1, isLeaving: false, claimsPrimary: false, startedAt: 0, warmupLeftMs: 0, revision: 1 },
    connector: { open: async () => { throw new RangeError('Port should be >= 0 and < 65536') } },
    clock: { readTime: () => performance.now() },
    logger: createLogger({ label: 'host', level: 'error', stream: 'stdout' }),
    handleConnectionAvailable: () => {}
  })
  pool.updateLimit(2)
  const startedAt = performance.now()
  const acquisitions = await Promise.all([pool.acquire({ organisation: 'o', timeoutMs: 2000 }), pool.acquire({ organisation: 'o', timeoutMs: 2000 })])
  assert.deepEqual(acquisitions.map(({ type }) => type), ['unreachable', 'unreachable'])
  assert.ok(performance.now() - startedAt < 1000)
  pool.close()
})
