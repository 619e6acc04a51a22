import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Idempotency } from '../../src/outcome/idempotency.js'

function frame (type: string, body: string): Buffer {
  const bytes = Buffer.from(`${type}0000${body}`, 'latin1')
  bytes.writeUInt32BE(body.length + 4, 1)
  return bytes
}

function digest (frames: Buffer, statements: Buffer[] = [], isTransaction = false): string {
  return Idempotency.create().computeDigest({ organisation: 'o', entryName: 'e', isTransaction, frames, statements: statements.map((parse) => ({ parse })) })
}

describe('Idempotency', () => {
  it('takes requests that differ in comments or in statement names for the same work, and others not', () => {
    const first = digest(frame('Q', "INSERT INTO t VALUES (1) /* session='x' */\0"))
    assert.equal(digest(frame('Q', "INSERT INTO t VALUES (1) /* session='longer' */\0")), first)
    assert.notEqual(digest(frame('Q', 'INSERT INTO t VALUES (2)\0')), first)
    const bind = (statement: string, value: string): Buffer => frame('B', `\0${statement}\0\0\0\0\x01\0\0\0\x01${value}\0\0`)
    const parse = (statement: string): Buffer => frame('P', `${statement}\0INSERT INTO t VALUES ($1)\0\0\0`)
    assert.equal(digest(bind('s1', '5'), [parse('s1')]), digest(bind('s9', '5'), [parse('s9')]))
    assert.notEqual(digest(bind('s1', '5'), [parse('s1')]), digest(bind('s1', '6'), [parse('s1')]))
    assert.equal(digest(frame('Q', 'BEGIN\0'), [], true), digest(frame('Q', 'BEGIN WORK\0'), [], true))
  })

  it('runs new work, repeats the first answer, and refuses other work under the same key', () => {
    const idempotency = Idempotency.create()
    const record = { digest: 'd', response: Buffer.from('r') }
    assert.deepEqual(idempotency.decide({ record: undefined, digest: 'd', isTransaction: false }), { type: 'run' })
    assert.deepEqual(idempotency.decide({ record, digest: 'd', isTransaction: false }), { type: 'answer', response: record.response })
    assert.deepEqual(idempotency.decide({ record, digest: 'x', isTransaction: false }), { type: 'conflict' })
    assert.deepEqual(idempotency.decide({ record: { digest: 'd', response: null }, digest: 'd', isTransaction: true }), { type: 'already-run' })
  })
})
