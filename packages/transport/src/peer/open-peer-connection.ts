import { connect, type Socket } from 'node:net'
import { connect as connectTls, type ConnectionOptions } from 'node:tls'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { PeerConnection } from './peer-connection.js'

const CONNECT_TIMEOUT_MS = 2000

interface OpenPeerConnectionOptions {
  host: string
  port: number
  hello: PeerHello
  tls?: ConnectionOptions
}

/** Connects to a peer. The caller must add its own methods in the same turn of the event loop in which the promise resolves. */
export async function openPeerConnection ({ host, port, hello, tls }: OpenPeerConnectionOptions): Promise<PeerConnection> {
  const socket = tls === undefined ? connect({ host, port }) : connectTls({ ...tls, host, port })
  await waitForConnect(socket, tls === undefined ? 'connect' : 'secureConnect', `${host}:${port}`)
  return PeerConnection.create({ socket, hello })
}

async function waitForConnect (socket: Socket, event: string, peer: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const rejectWith = (reason: string): void => {
      clearTimeout(timer)
      socket.destroy()
      reject(TanagerusherError.create('peer-failed', { details: { peer, reason } }))
    }
    const timer = setTimeout(() => { rejectWith(`no connection in ${CONNECT_TIMEOUT_MS} ms`) }, CONNECT_TIMEOUT_MS)
    socket.once(event, () => {
      clearTimeout(timer)
      socket.removeAllListeners('error')
      resolve()
    })
    socket.once('error', (error) => { rejectWith(error.message) })
  })
}
