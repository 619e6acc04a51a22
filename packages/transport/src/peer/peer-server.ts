import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createServer as createTlsServer, type TlsOptions } from 'node:tls'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { PeerConnection } from './peer-connection.js'

interface OpenOptions {
  address: string
  /** 0 lets the operating system choose a port; see `PeerServer.port`. */
  port: number
  hello: PeerHello
  /** When set, only peers with a certificate of the same authority can connect. */
  tls?: TlsOptions
  handleConnection: (connection: PeerConnection) => void
}

/** Accepts peer connections. It owns the listening socket and the accepted connections. */
export class PeerServer {
  readonly #server: Server
  readonly #connections = new Set<PeerConnection>()

  private constructor (server: Server) {
    this.#server = server
  }

  static async open ({ address, port, hello, tls, handleConnection }: OpenOptions): Promise<PeerServer> {
    const accept = (socket: Socket): void => { peerServer.#accept(PeerConnection.create({ socket, hello }), handleConnection) }
    const server = tls === undefined
      ? createServer(accept)
      : createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, accept)
    const peerServer = new PeerServer(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, address, resolve)
    })
    return peerServer
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
    for (const connection of this.#connections) connection.close()
    await closed
  }

  /** Closes all connections immediately, without waiting for responses in flight. */
  destroy (): void {
    this.#server.close()
    for (const connection of this.#connections) connection.destroy()
  }

  #accept (connection: PeerConnection, handleConnection: (connection: PeerConnection) => void): void {
    this.#connections.add(connection)
    void connection.closed.then(() => this.#connections.delete(connection))
    handleConnection(connection)
  }
}
