import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BoundedLogStream } from '../src/log/bounded-log-stream.js'

function createSink () {
  const lines: string[] = []
  return { lines, writableLength: 0, write: (text: string) => { lines.push(text); return true } }
}

test('lines above the rate limit are dropped and counted, so that a flood of refusals does not use up processor time', () => {
  const sink = createSink()
  let now = 5000
  const stream = BoundedLogStream.create({ sink, readTime: () => now, linesPerSecond: 2 })
  for (let index = 0; index < 5; index++) stream.write(`line ${index}\n`)
  now = 6000
  stream.write('later\n')
  assert.equal(sink.lines.length, 4)
  assert.equal((JSON.parse(sink.lines[2] as string) as { count: number }).count, 3)
  assert.equal(sink.lines[3], 'later\n')
})

test('a stalled reader neither blocks the process nor fills its memory', () => {
  const sink = createSink()
  sink.writableLength = 1000
  const stream = BoundedLogStream.create({ sink, readTime: () => 0, bufferBytes: 100 })
  stream.write('lost\n')
  sink.writableLength = 0
  stream.write('kept\n')
  assert.equal(sink.lines.at(-1), 'kept\n')
  assert.equal(sink.lines.length, 2)
})
