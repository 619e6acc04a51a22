import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'node:test'
import { parseTrace } from '../src/replay/parse-trace.js'

const DIRECTORY = 'packages/load/traces'

test('all traces are valid and cover every guarantee for both deployments', () => {
  const covered = new Set<string>()
  for (const file of readdirSync(DIRECTORY)) {
    const { header } = parseTrace(readFileSync(`${DIRECTORY}/${file}`, 'utf8'))._unsafeUnwrap()
    assert.equal(`${header.name}.jsonl`, file)
    for (const guarantee of header.guarantees) covered.add(`${header.deployment} ${guarantee}`)
  }
  assert.equal(covered.size, 2 * 13)
})
