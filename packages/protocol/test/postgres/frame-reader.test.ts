import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { FrameReader } from '../../src/postgres/frame-reader.js'
import { parseStartup } from '../../src/postgres/parse-startup.js'

function encode (type: string, body: Buffer): Buffer {
  const header = Buffer.alloc(5)
  header.write(type, 'latin1')
  header.writeUInt32BE(body.length + 4, 1)
  return Buffer.concat([header, body])
}

function createReader (maximumMessageBytes = 64): FrameReader {
  const reader = FrameReader.create({ maximumMessageBytes })
  reader.allowLongMessages()
  return reader
}

describe('FrameReader', () => {
  // Guards against messages that are lost or joined when TCP splits or merges them.
  it('reads the same messages however the bytes are split', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 30 })), (bodies, cuts) => {
      const stream = Buffer.concat(bodies.map((body) => encode('Q', Buffer.from(body))))
      const reader = createReader()
      const read: Buffer[] = []
      for (let offset = 0, index = 0; offset < stream.length; index++) {
        const size = cuts.length === 0 ? stream.length : cuts[index % cuts.length] as number
        reader.push(stream.subarray(offset, offset + size))
        offset += size
        for (let frame = reader.read(); frame !== undefined; frame = reader.read()) read.push(Buffer.from(frame.bytes.subarray(5)))
      }
      assert.deepEqual(read, bodies.map((body) => Buffer.from(body)))
      assert.equal(reader.bufferedBytes, 0)
    }), { seed: 1, numRuns: 300 })
  })

  // Guards against memory that is taken for a message whose length a caller announces without sending it.
  it('rejects a message that is too long or too short as soon as its header has arrived', () => {
    for (const length of [65, 3, 0xffffffff]) {
      const reader = createReader()
      const header = Buffer.alloc(5, 'Q')
      header.writeUInt32BE(length, 1)
      reader.push(header)
      assert.throws(() => reader.read(), { kind: 'protocol-violation' })
    }
    const reader = FrameReader.create({ maximumMessageBytes: 1 << 20 })
    reader.push(Buffer.from([0x70, 0, 1, 0, 0]))
    assert.throws(() => reader.read(), { kind: 'protocol-violation' })
  })

  it('rejects a startup packet that is too long', () => {
    const reader = createReader()
    reader.push(Buffer.from([0, 0x7f, 0xff, 0xff]))
    assert.throws(() => reader.readStartup(), { kind: 'protocol-violation' })
  })
})

describe('parseStartup', () => {
  it('reads parameters and -c options, and rejects malformed packets', () => {
    const head = Buffer.from([0, 3, 0, 0])
    const good = parseStartup(Buffer.concat([head, Buffer.from('user\0o1\0options\0-c tanagerusher.session=a.b-c --x=1\\ 2\0\0')]))._unsafeUnwrap()
    assert.ok(good.type === 'session')
    assert.equal(good.parameters.get('user'), 'o1')
    assert.deepEqual([...good.options], [['tanagerusher.session', 'a.b-c'], ['x', '1 2']])
    for (const text of ['user\0', 'user\0o1', 'user\0\0\0x']) assert.ok(parseStartup(Buffer.concat([head, Buffer.from(text)])).isErr(), text)
    assert.ok(parseStartup(Buffer.from([0, 2, 0, 0])).isErr())
  })

  it('reads a cancel request and rejects one of a wrong length', () => {
    const code = Buffer.from([4, 210, 22, 46])
    assert.deepEqual(parseStartup(Buffer.concat([code, Buffer.from([0, 0, 0, 7, 255, 255, 255, 255])]))._unsafeUnwrap(), { type: 'cancel', processId: 7, secret: 0xffffffff })
    assert.ok(parseStartup(Buffer.concat([code, Buffer.alloc(4)])).isErr())
  })
})
