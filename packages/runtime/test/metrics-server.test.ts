import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Registry } from 'prom-client'
import { LatencyHistogram } from '../src/metrics/latency-histogram.js'
import { MetricsServer } from '../src/metrics/metrics-server.js'

describe('MetricsServer', () => {
  it('serves metrics with quantiles and reports whether the process is ready', async () => {
    const registry = new Registry()
    const latency = LatencyHistogram.create({ name: 'request_ms', help: 'Requests', registry })
    for (let milliseconds = 1; milliseconds <= 100; milliseconds++) latency.record(milliseconds)
    let isReady = false
    const server = await MetricsServer.open({ address: '127.0.0.1', port: 0, registry, isReady: () => isReady })
    const read = async (path: string): Promise<Response> => await fetch(`http://127.0.0.1:${server.port}${path}`)
    const median = Number(/request_ms\{quantile="0.5"\} ([\d.]+)/.exec(await (await read('/metrics')).text())?.[1])
    assert.ok(median > 49 && median < 51, String(median))
    assert.equal((await read('/live')).status, 200)
    assert.equal((await read('/ready')).status, 503)
    isReady = true
    assert.equal((await read('/ready')).status, 200)
    assert.equal((await read('/other')).status, 404)
    await server.close()
  })
})
