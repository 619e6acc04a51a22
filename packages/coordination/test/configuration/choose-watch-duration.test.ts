import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ShareTable } from '../../src/budget/share-table.js'
import { chooseWatchDuration } from '../../src/configuration/choose-watch-duration.js'

const self = { host: 'h1', incarnation: 'i1', address: '127.0.0.1:1' }
const other = { host: 'h2', incarnation: 'i2', address: '127.0.0.1:2' }
/** A grant is valid for 1 s, and a delegation must outlast it on clocks that run apart. */
const NEEDED_MS = 2600

describe('chooseWatchDuration', () => {
  // Guards against a share that lapses between two confirmations by the store when the other host of two is gone: requests
  // inside the rate were then rejected every two seconds.
  it('keeps the share usable all the time while only the store confirms it', () => {
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

  it('watches longer while a majority confirms the configuration, to spare the store', () => {
    assert.ok(chooseWatchDuration(9500, 10_000) > chooseWatchDuration(-Infinity, 10_000))
  })
})
