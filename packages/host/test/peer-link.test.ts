import assert from 'node:assert/strict'
import { test } from 'node:test'
import { hostPing } from '@tanagerusher/protocol/peer/host-ping'
import { upstreamProbe } from '@tanagerusher/protocol/peer/upstream-probe'
import { peerHello, type PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { PeerServer } from '@tanagerusher/transport/peer/peer-server'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import { PeerLink } from '../src/peer/peer-link.js'
import { delay } from '../src/program/delay.js'

/** Longer than the link's timeout for a ping. */
const PING_RESPONSE_DELAY_MS = 900
const OBSERVATION_MS = 1600
const NOTIFY_INTERVAL_MS = 50

function buildHello (host: string): PeerHello {
  return { host, incarnation: host, dataCentre: 'a', region: 'r', role: 'host', protocolVersions: [2] }
}

function createLink (port: number, logger: ReturnType<typeof createLogger>): PeerLink {
  return PeerLink.create({
    record: { host: 'h2', incarnation: 'h2', address: '127.0.0.1', port, dataCentre: 'a', region: 'r' },
    hello: buildHello('h1'),
    clock: { readTime: () => performance.now() },
    logger,
    handlePingResponse: () => {}
  })
}

async function countLosses (handleConnection: (connection: PeerConnection) => void): Promise<number> {
  const server = await PeerServer.open({
    address: '127.0.0.1',
    port: 0,
    hello: buildHello('h2'),
    handleConnection: (connection) => {
      connection.addMethod(hostPing, async () => {
        await delay(PING_RESPONSE_DELAY_MS)
        return { isLeaving: false, copies: {} }
      })
      handleConnection(connection)
    }
  })
  let losses = 0
  const logger = createLogger({ label: 'test', level: 'error', stream: 'stdout', fields: {} })
  logger.warn = () => {
    losses++
    return logger
  }
  const link = createLink(server.port, logger)
  await link.prepare()
  await delay(OBSERVATION_MS)
  link.close()
  server.destroy()
  return losses
}

// Guards against a busy link that is reported as lost: the response to a ping is queued behind a large message for longer than the
// timeout of the ping.
test('a link stays up while a large message delays the response to a ping', async () => {
  const timers: NodeJS.Timeout[] = []
  const losses = await countLosses((connection) => {
    timers.push(setInterval(() => { connection.notify(peerHello, buildHello('h2')) }, NOTIFY_INTERVAL_MS))
  })
  for (const timer of timers) clearInterval(timer)
  assert.equal(losses, 0)
})

// Guards against a ping load that grows with hosts times owners, and against a call that waits for its whole timeout before the loss of
// an unresponsive link is detected.
test('an unwatched link is pinged rarely, and immediately when a call gets no response', async () => {
  let pings = 0
  const server = await PeerServer.open({
    address: '127.0.0.1',
    port: 0,
    hello: buildHello('h2'),
    handleConnection: (connection) => {
      connection.addMethod(hostPing, async () => {
        pings++
        return { isLeaving: false, copies: {} }
      })
      connection.addMethod(upstreamProbe, async () => {
        await delay(OBSERVATION_MS)
        return { isReachable: true }
      })
    }
  })
  const link = createLink(server.port, createLogger({ label: 'test', level: 'error', stream: 'stdout', fields: {} }))
  await link.prepare()
  await delay(OBSERVATION_MS)
  assert.equal(pings, 1)
  void link.request(upstreamProbe, { databaseId: 'd' }, OBSERVATION_MS).catch(() => {}) // only the ping that it triggers matters
  await delay(PING_RESPONSE_DELAY_MS / 2)
  assert.equal(pings, 2)
  link.watch()
  await delay(OBSERVATION_MS / 2)
  assert.ok(pings >= 4, `${pings} pings of a watched link`)
  link.close()
  server.destroy()
})

// Guards against an unresponsive connection that is still open and counts as a working link.
test('a link on which nothing arrives is reported as lost', async () => {
  assert.ok(await countLosses(() => {}) > 0)
})
