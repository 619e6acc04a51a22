import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { Tracing } from '../src/trace/tracing.js'

const TRACE_ID = '0123456789abcdef0123456789abcdef'
const SAMPLED = `00-${TRACE_ID}-0123456789abcdef-01`
const UNSAMPLED = `00-${TRACE_ID}-0123456789abcdef-00`
const identity = { program: 'tanagerusher-entry', host: 'h1', dataCentre: 'd1' }

describe('Tracing', () => {
  it('creates no span without an exporter, for unsampled traces and with a sample ratio of 0', async () => {
    const disabled = Tracing.create({ ...identity, settings: { sampleRatio: 1 } })
    assert.equal(disabled.startSpan('a', SAMPLED), undefined)
    assert.equal(await disabled.run('a', SAMPLED, async (traceparent) => traceparent), SAMPLED)
    const neverSampled = Tracing.create({ ...identity, settings: { sampleRatio: 0, otlpUrl: 'http://127.0.0.1:9/v1/traces' } })
    assert.equal(neverSampled.startSpan('a', UNSAMPLED), undefined)
    assert.equal(neverSampled.startSpan('a'), undefined)
    assert.equal(neverSampled.startSpan('a', 'nonsense'), undefined)
  })

  it('writes spans as JSON lines, each with the id of its parent span', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'tracing-'))
    const file = join(directory, 'spans.jsonl')
    const tracing = Tracing.create({ ...identity, settings: { sampleRatio: 0, file } })
    const outer = tracing.startSpan('outer', SAMPLED, { entry: 'e1' })
    assert.ok(outer !== undefined)
    await assert.rejects(tracing.run('inner', tracing.formatTraceparent(outer), async () => { throw new Error('lost') }), { message: 'lost' })
    outer.end()
    await tracing.close()
    const [inner, parent] = readFileSync(file, 'utf8').trim().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
    assert.deepEqual([inner?.name, inner?.traceId, inner?.parentSpanId, inner?.status], ['inner', TRACE_ID, parent?.spanId, 2])
    assert.deepEqual([parent?.parentSpanId, parent?.attributes], ['0123456789abcdef', { entry: 'e1' }])
    rmSync(directory, { recursive: true })
  })

  // Guards against losing spans because the exporter expects the field names of another SDK version.
  it('sends spans by OTLP with their parent and resource', async () => {
    const bodies: string[] = []
    const server = createServer((request, response) => {
      let body = ''
      request.on('data', (part: Buffer) => { body += part.toString() })
      request.on('end', () => {
        bodies.push(body)
        response.end('{}')
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const otlpUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces`
    const tracing = Tracing.create({ ...identity, settings: { sampleRatio: 0, otlpUrl } })
    tracing.startSpan('outer', SAMPLED)?.end()
    await tracing.close()
    server.closeAllConnections()
    server.close()
    const [resource] = (JSON.parse(bodies.join('')) as { resourceSpans: Array<{ resource: unknown, scopeSpans: Array<{ spans: Array<Record<string, unknown>> }> }> }).resourceSpans
    const span = resource?.scopeSpans[0]?.spans[0]
    assert.deepEqual([span?.name, span?.traceId, span?.parentSpanId], ['outer', TRACE_ID, '0123456789abcdef'])
    assert.match(JSON.stringify(resource?.resource), /tanagerusher-entry/)
  })
})
