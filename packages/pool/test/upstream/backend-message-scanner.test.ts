import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { BackendMessageScanner } from '../../src/upstream/backend-message-scanner.js'

function build (type: string, length: number): Buffer {
  const message = Buffer.alloc(5 + length, type)
  message.writeUInt32BE(4 + length, 1)
  return message
}

describe('BackendMessageScanner', () => {
  // Guards against messages that are split or merged when they span several socket reads.
  it('returns the same messages regardless of how the stream is split into reads', () => {
    const messages = ['D', 'C', 'Z', 'D', 'E'].map((type, index) => build(type, [0, 7, 1, 5000, 90][index] as number))
    const stream = Buffer.concat(messages)
    for (let seed = 1; seed <= 50; seed++) {
      const random = xorshift128plus(seed)
      const found: Buffer[] = []
      const scanner = BackendMessageScanner.create((_, message) => { found.push(Buffer.from(message)) })
      for (let offset = 0; offset < stream.length;) {
        const end = offset + uniformInt(random, 1, seed % 2 === 0 ? 7 : 2000)
        scanner.scan(stream.subarray(offset, end))
        offset = end
      }
      assert.deepEqual(found, messages, `seed ${seed}`)
    }
  })

  it('throws on an invalid message length', () => {
    const scanner = BackendMessageScanner.create(() => {})
    assert.throws(() => { scanner.scan(Buffer.from([0x44, 0, 0, 0, 3])) }, RangeError)
  })
})
