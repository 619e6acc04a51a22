import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FrameCodec } from '../src/peer/frame-codec.js'

const SEEDS = [1, 2, 3, 4]
const MESSAGES = 3000

/** Creates a generator of values whose objects have far more different sets of keys than msgpackr can refer to at a time. */
function createGenerator (seed: number, keys: number): () => unknown {
  let state = seed
  const next = (limit: number): number => {
    state = (state * 1103515245 + 12345) & 0x7fffffff
    return (state >> 8) % limit
  }
  const generate = (depth: number): unknown => {
    switch (next(depth > 2 ? 5 : 7)) {
      case 0: return next(1e6)
      case 1: return 'x'.repeat(next(90))
      case 2: return next(2) === 0 ? null : true
      case 3: return next(1000) / 7
      case 4: return Buffer.alloc(next(60), next(256))
      case 5: return Array.from({ length: next(4) }, () => generate(depth + 1))
      default: return Object.fromEntries(Array.from({ length: next(8) }, () => [`k${next(keys)}`, generate(depth + 1)]))
    }
  }
  return () => ({ jsonrpc: '2.0', method: 'm', params: generate(0) })
}

describe('FrameCodec', () => {
  for (const seed of SEEDS) {
    // Guards against decoding a message with the keys of another one after references to keys are reused.
    it(`decodes encoded values when both directions use many sets of keys, seed ${seed}`, () => {
      const [left, right] = [FrameCodec.create({ sharesKeys: true }), FrameCodec.create({ sharesKeys: true })]
      const generate = createGenerator(seed, seed % 2 === 0 ? 2000 : 40)
      for (let index = 0; index < MESSAGES; index++) {
        const [request, response] = [generate(), generate()]
        assert.deepEqual(right.decode(left.encode(request)), [request])
        assert.deepEqual(left.decode(right.encode(response)), [response])
      }
    })
  }

  // Guards against losing the keys of earlier frames when bytes arrive in pieces.
  it('decodes frames that arrive in pieces', () => {
    const [sender, receiver] = [FrameCodec.create({ sharesKeys: true }), FrameCodec.create({ sharesKeys: true })]
    const values = Array.from({ length: 50 }, (_, index) => ({ id: index, params: { frames: Buffer.alloc(index), floor: { term: 1, position: index } } }))
    const bytes = Buffer.concat(values.map((value) => sender.encode(value)))
    const decoded: unknown[] = []
    for (let offset = 0; offset < bytes.length; offset += 7) decoded.push(...receiver.decode(bytes.subarray(offset, offset + 7)))
    assert.deepEqual(decoded, values)
  })

  // Guards against breaking the replication links of the stand-in database, which encode a message once and send it to several followers.
  it('encodes values that any decoder can read without earlier frames when keys are not shared', () => {
    const sender = FrameCodec.create()
    const value = { type: 'append', entry: { term: 1, position: 2 } }
    sender.encode(value)
    assert.deepEqual(FrameCodec.create().decode(sender.encode(value)), [value])
  })
})
