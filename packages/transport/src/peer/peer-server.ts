import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createServer as createTlsServer, type TlsOptions } from 'node:tls'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { PeerConnection } from './peer-connection.js'

interface OpenOptions {
  address: string
  /** 0 lets the system choose a port; see `port`. */
  port: number
  hello: PeerHello
  /** Set: only peers with a certificate of the same authority get through. */
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
    const accept = (socket: Socket): void => { peers.#accept(PeerConnection.create({ socket, hello }), handleConnection) }
    const server = tls === undefined
      ? createServer(accept)
      : createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, accept)
    const peers = new PeerServer(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, address, resolve)
    })
    return peers
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
    for (const connection of this.#connections) connection.close()
    await closed
  }

  /** Cuts all connections without waiting for answers under way. */
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
