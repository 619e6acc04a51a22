import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { HttpPlatformStore } from '../src/store/http-platform-store.js'

let server: Server
let url: string
let respond: (request: IncomingMessage, response: ServerResponse) => void

describe('HttpPlatformStore', () => {
  before(async () => {
    server = createServer((request, response) => { respond(request, response) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  after(() => {
    server.closeAllConnections()
    server.close()
  })

  const faults: Array<[description: string, handle: typeof respond]> = [
    ['is not JSON', (_, response) => { response.end('<html>') }],
    ['is an error page of a gateway', (_, response) => { response.writeHead(502).end('<html>') }],
    ['lacks fields', (_, response) => { response.end('{"kind":"entry"}') }],
    ['reports an exceeded call budget', (_, response) => { response.writeHead(429).end('{"message":"slow down"}') }],
    ['is cut off', (_, response) => {
      response.writeHead(200, { 'content-length': '1000' })
      response.write('{"kind":')
      setImmediate(() => { response.destroy() })
    }],
    ['never arrives', () => {}]
  ]

  // Guards against a client that treats a faulty response as a missing object, or rejects with an untyped error that no caller handles.
  for (const [description, handle] of faults) {
    it(`rejects with store-unavailable when the response ${description}`, async () => {
      const store = HttpPlatformStore.create({ url, caller: 'h1', timeoutMs: description === 'never arrives' ? 20 : 60_000 })
      respond = handle
      await assert.rejects(store.read('entry', 'e'), { kind: 'store-unavailable' })
      await assert.rejects(store.write('entry', 'e', {}, 3), { kind: 'store-unavailable' })
      await store.close()
    })
  }

  it('sends conditional headers, escapes object names and identifies its caller', async () => {
    const requests: unknown[] = []
    respond = ({ method, url: path, headers }, response) => {
      requests.push([method, path, headers['if-match'] ?? headers['if-none-match'], headers['x-caller']])
      response.end('{"kind":"a/b","name":"c d","version":4,"value":{}}')
    }
    const store = HttpPlatformStore.create({ url: `${url}/`, caller: 'h1', timeoutMs: 60_000 })
    await store.write('a/b', 'c d', {}, 0)
    await store.remove('a/b', 'c d', 4)
    assert.deepEqual(requests, [['PUT', '/v1/objects/a%2Fb/c%20d', '*', 'h1'], ['DELETE', '/v1/objects/a%2Fb/c%20d', '"4"', 'h1']])
    await store.close()
  })

  // Guards against a shutdown that waits for a long poll.
  it('aborts a pending watch when it is closed', async () => {
    const requestArrived = new Promise<void>((resolve) => { respond = () => { resolve() } })
    const store = HttpPlatformStore.create({ url, caller: 'h1', timeoutMs: 60_000 })
    const watching = assert.rejects(store.watch(['entry'], 1, 3_600_000), { kind: 'store-unavailable' })
    await requestArrived
    await store.close()
    await watching
  })
})
