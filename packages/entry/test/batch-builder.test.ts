import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { BatchBuilder } from '../src/session/batch-builder.js'

const options = { maximumStatements: 8, maximumMessages: 20, maximumBytes: 4096 }

function encode (type: string, body: Buffer): { type: number, bytes: Buffer } {
  const bytes = Buffer.concat([Buffer.from([type.charCodeAt(0), 0, 0, 0, 0]), body])
  bytes.writeUInt32BE(bytes.length - 1, 1)
  return { type: type.charCodeAt(0), bytes }
}

describe('BatchBuilder', () => {
  // Guards against malformed messages of a caller that crash the process or are sent to a pool.
  it('builds batches of complete messages or errors from arbitrary messages', () => {
    const body = fc.array(fc.constantFrom('s1', 's2', 'S', 'P', '\0', 'SELECT 1', 'BEGIN', 'COPY', 'x'.repeat(600), "/*idempotency_key='a'*/"), { maxLength: 6 })
    const message = fc.tuple(fc.constantFrom('Q', 'P', 'B', 'D', 'E', 'C', 'S', 'S', 'H', 'F', 'd', 'z'), body)
    fc.assert(fc.property(fc.array(message, { maxLength: 40 }), (messages) => {
      const builder = BatchBuilder.create(options)
      for (const [type, parts] of messages) {
        const batch = builder.add(encode(type, Buffer.from(parts.join(''))))
        if (batch === undefined || batch.error !== undefined) continue
        let offset = 0
        while (offset < batch.frames.length) offset += 1 + batch.frames.readUInt32BE(offset + 1)
        assert.equal(offset, batch.frames.length)
        assert.ok(batch.frames.length <= options.maximumBytes + 5 || batch.type === 'simple')
      }
    }), { seed: 11, numRuns: 2000 })
  })

  it('rejects too many messages, bytes and statements, and accepts messages again after the Sync', () => {
    const builder = BatchBuilder.create(options)
    const parse = (name: string, text = 'SELECT 1'): void => { builder.add(encode('P', Buffer.from(`${name}\0${text}\0\0\0`))) }
    const sync = (): string | undefined => builder.add(encode('S', Buffer.alloc(0)))?.error?.message
    for (let count = 0; count < 21; count++) builder.add(encode('E', Buffer.from('\0\0\0\0\0')))
    assert.match(sync() ?? '', /more than 20 messages/)
    parse('', 'x'.repeat(5000))
    assert.match(sync() ?? '', /more than 4096 bytes/)
    for (let count = 0; count < 9; count++) parse(`n${count}`)
    assert.match(sync() ?? '', /more than 8 prepared statements/)
    parse('n0')
    assert.equal(sync(), undefined)
  })
})
