import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { probeFloor } from '@tanagerusher/protocol/peer/probe-floor'
import { openPeerConnection } from '../src/peer/open-peer-connection.js'
import { PeerServer } from '../src/peer/peer-server.js'

const hello: PeerHello = { host: 'h1', incarnation: 'i1', dataCentre: 'd1', region: 'r1', role: 'pool', protocolVersions: [2] }

describe('PeerConnection', () => {
  it('responds to a call, forwards a typed error and rejects requests in flight when the connection closes', async () => {
    const server = await PeerServer.open({
      address: '127.0.0.1',
      port: 0,
      hello,
      handleConnection: (connection) => {
        connection.addMethod(probeFloor, async ({ group }) => {
          if (group === 'bad') throw TanagerusherError.create('unavailable', { details: { group, reason: 'no quorum' } })
          if (group === 'hang') { connection.destroy(); await new Promise(() => {}) }
          return { position: { term: 3, position: 7 } }
        })
      }
    })
    const client = await openPeerConnection({ host: '127.0.0.1', port: server.port, hello: { ...hello, role: 'entry' } })
    assert.equal((await client.remoteHello).host, 'h1')
    assert.deepEqual(await client.request(probeFloor, { group: 'g', deadlineMs: 100 }, 1000), { position: { term: 3, position: 7 } })
    await assert.rejects(client.request(probeFloor, { group: 'bad', deadlineMs: 100 }, 1000), { kind: 'unavailable' })
    await assert.rejects(client.request(probeFloor, { group: 'hang', deadlineMs: 100 }, 5000), { kind: 'peer-failed' })
    await server.close()
  })

  // Guards against a peer that lacks keys which later messages refer to and therefore decodes one field as another.
  it('closes the connection when a message cannot be encoded', async () => {
    const server = await PeerServer.open({ address: '127.0.0.1', port: 0, hello, handleConnection: () => {} })
    const client = await openPeerConnection({ host: '127.0.0.1', port: server.port, hello: { ...hello, role: 'entry' } })
    const unencodable = 2n ** 70n as unknown as number
    await assert.rejects(client.request(probeFloor, { group: 'g', deadlineMs: unencodable }, 1000), { kind: 'peer-failed' })
    assert.equal(client.isOpen, false)
    await server.close()
  })

  // Guards against a peer of version 1, which can decode the first message but not later ones that refer to its keys.
  it('closes the connection to a peer without a common protocol version', async () => {
    const server = await PeerServer.open({ address: '127.0.0.1', port: 0, hello, handleConnection: () => {} })
    const client = await openPeerConnection({ host: '127.0.0.1', port: server.port, hello: { ...hello, protocolVersions: [1] } })
    await client.closed
    assert.equal(client.isOpen, false)
    await server.close()
  })
})
