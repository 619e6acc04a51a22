import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Idempotency } from '../../src/outcome/idempotency.js'

function buildFrame (type: string, body: string): Buffer {
  const bytes = Buffer.from(`${type}0000${body}`, 'latin1')
  bytes.writeUInt32BE(body.length + 4, 1)
  return bytes
}

function computeDigest (frames: Buffer, statements: Buffer[] = [], isTransaction = false): string {
  return Idempotency.create().computeDigest({ organisation: 'o', entryName: 'e', isTransaction, frames, statements: statements.map((parse) => ({ parse })) })
}

describe('Idempotency', () => {
  it('computes the same digest for requests that differ only in comments or statement names, and different digests otherwise', () => {
    const first = computeDigest(buildFrame('Q', "INSERT INTO t VALUES (1) /* session='x' */\0"))
    assert.equal(computeDigest(buildFrame('Q', "INSERT INTO t VALUES (1) /* session='longer' */\0")), first)
    assert.notEqual(computeDigest(buildFrame('Q', 'INSERT INTO t VALUES (2)\0')), first)
    const buildBind = (statement: string, value: string): Buffer => buildFrame('B', `\0${statement}\0\0\0\0\x01\0\0\0\x01${value}\0\0`)
    const buildParse = (statement: string): Buffer => buildFrame('P', `${statement}\0INSERT INTO t VALUES ($1)\0\0\0`)
    assert.equal(computeDigest(buildBind('s1', '5'), [buildParse('s1')]), computeDigest(buildBind('s9', '5'), [buildParse('s9')]))
    assert.notEqual(computeDigest(buildBind('s1', '5'), [buildParse('s1')]), computeDigest(buildBind('s1', '6'), [buildParse('s1')]))
    assert.equal(computeDigest(buildFrame('Q', 'BEGIN\0'), [], true), computeDigest(buildFrame('Q', 'BEGIN WORK\0'), [], true))
  })

  it('runs new work, sends the recorded response again for a repeat, and rejects different work under the same key', () => {
    const idempotency = Idempotency.create()
    const record = { digest: 'd', response: Buffer.from('r') }
    assert.deepEqual(idempotency.decide({ record: undefined, digest: 'd', isTransaction: false }), { type: 'run' })
    assert.deepEqual(idempotency.decide({ record, digest: 'd', isTransaction: false }), { type: 'answer', response: record.response })
    assert.deepEqual(idempotency.decide({ record, digest: 'x', isTransaction: false }), { type: 'conflict' })
    assert.deepEqual(idempotency.decide({ record: { digest: 'd', response: null }, digest: 'd', isTransaction: true }), { type: 'already-run' })
  })
})
