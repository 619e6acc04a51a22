import type { ConnectionOptions } from 'node:tls'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { PeerAddress } from './peer-address.js'

interface CreateOptions {
  hello: PeerHello
  tls?: ConnectionOptions | undefined
  /** Adds the methods and notifications that this process answers on a new connection. */
  prepareConnection: (connection: PeerConnection) => void
}

/** Connections to other controls, one for each address, opened when first needed and again after a failure. */
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

  /** Connection to an address; rejects with `peer-failed`. */
  async connect ({ host, port }: PeerAddress): Promise<PeerConnection> {
    const key = `${host}:${port}`
    const known = this.#links.get(key)
    if (known !== undefined) return await known
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
