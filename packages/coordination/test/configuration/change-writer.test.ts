import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ChangeWriter, type ChangeEffect } from '../../src/configuration/change-writer.js'
import type { Change } from '../../src/configuration/change.js'

const change: Change = { kind: 'entry', name: 'e1', value: { owner: 'o1' }, expectedVersion: 4, changeId: 'mine' }

function start (): ChangeWriter {
  const writer = ChangeWriter.create({ change })
  assert.equal(writer.handle({ type: 'start' })[0]?.type, 'write')
  return writer
}

const types = (effects: ChangeEffect[]): string[] => effects.map(({ type }) => type)

describe('ChangeWriter', () => {
  // Guards against a conflict reported for a change that took effect, when the response to its write was lost.
  it('recognises its own change after a lost response', () => {
    const writer = start()
    assert.deepEqual(types(writer.handle({ type: 'lost' })), ['read'])
    assert.deepEqual(writer.handle({ type: 'read', object: { version: 9, value: { owner: 'o1', changeId: 'mine' } } }), [{ type: 'accepted', version: 9 }])
  })

  // Guards against a false conflict when a delayed first write takes effect while the repeated write is in flight.
  it('recognises its own change when the repeated write finds a conflict', () => {
    const writer = start()
    writer.handle({ type: 'lost' })
    assert.deepEqual(types(writer.handle({ type: 'read', object: { version: 4, value: {} } })), ['write'])
    assert.deepEqual(types(writer.handle({ type: 'conflict', found: 9 })), ['read'])
    assert.deepEqual(writer.handle({ type: 'read', object: { version: 9, value: { changeId: 'mine' } } }), [{ type: 'accepted', version: 9 }])
  })

  // Guards against one operator's change overwriting another's when both write at the same time.
  it('reports a conflict when another operator has changed the object first', () => {
    assert.deepEqual(start().handle({ type: 'conflict', found: 5 }), [{ type: 'conflict', found: 5, expected: 4 }])
    const writer = start()
    writer.handle({ type: 'lost' })
    assert.deepEqual(writer.handle({ type: 'read', object: { version: 5, value: { changeId: 'other' } } }), [{ type: 'conflict', found: 5, expected: 4 }])
  })

  // Guards against reporting a definite outcome that is not known, and against endless retries.
  it('reports the outcome as unknown when the store stays unreachable', () => {
    const writer = start()
    let effect = writer.handle({ type: 'lost' })[0]
    for (let attempt = 0; attempt < 10 && effect?.type === 'read'; attempt++) effect = writer.handle({ type: 'read-failed' })[0]
    assert.equal(effect?.type, 'unknown')
  })
})
