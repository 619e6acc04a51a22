import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { TestFleet } from './fixtures/test-fleet.js'

let fleet: TestFleet

describe('queries', () => {
  afterEach(async () => { await fleet.close() })

  it('accepts a log-in and forwards simple and extended queries', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    assert.deepEqual((await client.query('INSERT INTO fees VALUES (1)')).rows, [{ value: 'db1' }])
    assert.deepEqual((await client.query('SELECT $1::text', ['a'])).rows, [{ value: 'db2' }])
    assert.equal(fleet.pool.executed[0]?.access, 'write')
    assert.equal(fleet.pool.executed[1]?.access, 'read')
    assert.deepEqual(fleet.pool.executed[1]?.floor, { term: 1, position: 11 })
  })
})
