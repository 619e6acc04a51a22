import type { ConnectionOptions } from 'node:tls'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { PeerAddress } from './peer-address.js'

interface CreateOptions {
  hello: PeerHello
  tls?: ConnectionOptions | undefined
  /** Registers the methods and notifications that this process handles on a new connection. */
  prepareConnection: (connection: PeerConnection) => void
}

/** Connections to other control processes, one for each address, opened at the first use and again after a failure. */
export class PeerLinks {
  readonly #options: CreateOptions
  readonly #links = new Map<string, Promise<PeerConnection>>()
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PeerLinks {
    return new PeerLinks(options)
  }

  /** Returns the connection to an address; rejects with `peer-failed`. */
  async connect ({ host, port }: PeerAddress): Promise<PeerConnection> {
    const key = `${host}:${port}`
    const existing = this.#links.get(key)
    if (existing !== undefined) return await existing
    const opening = this.#open(host, port, key)
    this.#links.set(key, opening)
    opening.catch(() => { this.#links.delete(key) })
    return await opening
  }

  close (): void {
    this.#isClosed = true
    for (const link of this.#links.values()) link.then((connection) => { connection.close() }, () => {})
  }

  async #open (host: string, port: number, key: string): Promise<PeerConnection> {
    const { hello, tls, prepareConnection } = this.#options
    const connection = await openPeerConnection({ host, port, hello, ...(tls === undefined ? {} : { tls }) })
    prepareConnection(connection)
    void connection.closed.then(() => { this.#links.delete(key) })
    if (this.#isClosed) connection.close()
    return connection
  }
}
