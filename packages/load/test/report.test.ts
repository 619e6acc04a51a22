import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { writeResults } from '../src/report/write-results.js'

test('the report page loads no external resources, and a closing script tag in the data does not end its script', () => {
  const directory = mkdtempSync(join(tmpdir(), 'tanagerusher-report-'))
  const plot = { title: '</script><b>', type: 'bar' as const, xLabel: 'x', yLabel: 'y', labels: ['a'], series: [{ name: 's', values: [1] }] }
  const result = { experiment: 'e', summary: '<i>', method: 'm', command: 'c', seed: 1, rows: [], bounds: [], plots: [plot] }
  const { page } = writeResults(directory, result)
  const html = readFileSync(page, 'utf8')
  rmSync(directory, { recursive: true })
  assert.equal(html.match(/<\/script>/g)?.length, 2)
  assert.doesNotMatch(html, /<(script|link|img)[^>]*(src|href)=/)
  assert.match(html, /&lt;i&gt;/)
})
