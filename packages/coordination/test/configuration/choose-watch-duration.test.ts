import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ShareTable } from '../../src/budget/share-table.js'
import { chooseWatchDuration } from '../../src/configuration/choose-watch-duration.js'

const self = { host: 'h1', incarnation: 'i1', address: '127.0.0.1:1' }
const other = { host: 'h2', incarnation: 'i2', address: '127.0.0.1:2' }
/** A grant is valid for 1 s, and a delegation must outlast it even when the clocks of the hosts drift apart. */
const NEEDED_MS = 2600

describe('chooseWatchDuration', () => {
  // Guards against a share that expires between two confirmations by the store when only one of two hosts is left: requests
  // within the rate were then rejected every two seconds.
  it('keeps the share valid without interruption while only the store confirms it', () => {
    const table = ShareTable.create({ self })
    table.apply(1, { generation: 1, hosts: [self, other], previousHosts: [] }, 0)
    table.recordStoreConfirmation(0)
    for (let sentAt = 0; sentAt < 60_000;) {
      const answeredAt = sentAt + chooseWatchDuration(table.findMajorityConfirmation(sentAt), sentAt)
      assert.ok(table.readShare(answeredAt).validMs >= NEEDED_MS, `${table.readShare(answeredAt).validMs} ms at ${answeredAt}`)
      table.recordStoreConfirmation(sentAt)
      sentAt = answeredAt
    }
  })

  it('allows longer watches, and so fewer store calls, while a majority confirms the configuration', () => {
    assert.ok(chooseWatchDuration(9500, 10_000) > chooseWatchDuration(-Infinity, 10_000))
  })
})
