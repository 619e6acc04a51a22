import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { HttpPlatformStore } from '../src/store/http-platform-store.js'

let server: Server
let url: string
let answer: (request: IncomingMessage, response: ServerResponse) => void

describe('HttpPlatformStore', () => {
  before(async () => {
    server = createServer((request, response) => { answer(request, response) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  after(() => {
    server.closeAllConnections()
    server.close()
  })

  const faults: Array<[name: string, answer: typeof answer]> = [
    ['is not JSON', (_, response) => { response.end('<html>') }],
    ['comes from a gateway', (_, response) => { response.writeHead(502).end('<html>') }],
    ['lacks fields', (_, response) => { response.end('{"kind":"entry"}') }],
    ['is over the call budget', (_, response) => { response.writeHead(429).end('{"message":"slow down"}') }],
    ['breaks off', (_, response) => {
      response.writeHead(200, { 'content-length': '1000' })
      response.write('{"kind":')
      setImmediate(() => { response.destroy() })
    }],
    ['never comes', () => {}]
  ]

  // Guards against a client that takes a faulty answer for a missing object, or fails with an error that nobody handles.
  for (const [name, handle] of faults) {
    it(`rejects with store-unavailable when the answer ${name}`, async () => {
      const store = HttpPlatformStore.create({ url, caller: 'h1', timeoutMs: name === 'never comes' ? 20 : 60_000 })
      answer = handle
      await assert.rejects(store.read('entry', 'e'), { kind: 'store-unavailable' })
      await assert.rejects(store.write('entry', 'e', {}, 3), { kind: 'store-unavailable' })
      await store.close()
    })
  }

  it('sends conditions, escapes names and names its caller', async () => {
    const seen: unknown[] = []
    answer = ({ method, url: path, headers }, response) => {
      seen.push([method, path, headers['if-match'] ?? headers['if-none-match'], headers['x-caller']])
      response.end('{"kind":"a/b","name":"c d","version":4,"value":{}}')
    }
    const store = HttpPlatformStore.create({ url: `${url}/`, caller: 'h1', timeoutMs: 60_000 })
    await store.write('a/b', 'c d', {}, 0)
    await store.remove('a/b', 'c d', 4)
    assert.deepEqual(seen, [['PUT', '/v1/objects/a%2Fb/c%20d', '*', 'h1'], ['DELETE', '/v1/objects/a%2Fb/c%20d', '"4"', 'h1']])
    await store.close()
  })

  // Guards against a shutdown that waits for a long poll.
  it('ends a watch that waits when it is closed', async () => {
    const arrived = new Promise<void>((resolve) => { answer = () => { resolve() } })
    const store = HttpPlatformStore.create({ url, caller: 'h1', timeoutMs: 60_000 })
    const watching = assert.rejects(store.watch(['entry'], 1, 3_600_000), { kind: 'store-unavailable' })
    await arrived
    await store.close()
    await watching
  })
})
