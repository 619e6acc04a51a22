import { connect, type Socket } from 'node:net'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { BackendMessageScanner } from './backend-message-scanner.js'
import { backendMessage } from './backend-message.js'
import type { Exchange } from './exchange.js'
import { UpstreamLogin } from './upstream-login.js'
import type { UpstreamAddress } from './upstream-address.js'

interface OpenOptions {
  address: UpstreamAddress
  timeoutMs: number
  applicationName: string
}

/**
 * One connection to an upstream. Batches are pipelined; answers are matched to them in order. Anything that comes when no
 * batch waits, and anything malformed, ends the connection.
 */
export class UpstreamConnection {
  readonly closed: Promise<void>
  readonly #socket: Socket
  readonly #scanner: BackendMessageScanner
  #exchanges: Exchange[] = []
  #login: UpstreamLogin | undefined
  #processId = 0
  #secretKey = 0
  #writes: Uint8Array[] = []

  private constructor (socket: Socket) {
    this.#socket = socket
    this.#scanner = BackendMessageScanner.create((type, message) => { this.#handleMessage(type, message) })
    this.closed = new Promise((resolve) => { socket.once('close', () => { resolve() }) })
  }

  /** Connects and logs in. Rejects with the socket's error, whose `code` tells a refused connection from silence. */
  static async open ({ address, timeoutMs, applicationName }: OpenOptions): Promise<UpstreamConnection> {
    const socket = connect({ host: address.host, port: address.port, noDelay: true })
    const connection = new UpstreamConnection(socket)
    await connection.#logIn(address, timeoutMs, applicationName)
    return connection
  }

  get isOpen (): boolean { return !this.#socket.destroyed }
  get processId (): number { return this.#processId }
  get secretKey (): number { return this.#secretKey }

  /** Sends a batch that ends in exactly one ReadyForQuery. Batches of one turn leave in one write. */
  send (bytes: Uint8Array, exchange: Exchange): void {
    if (this.#socket.destroyed) {
      exchange.handleClose('connection closed')
      return
    }
    this.#exchanges.push(exchange)
    this.write(bytes)
  }

  /** Sends bytes that belong to the batch under way. */
  write (bytes: Uint8Array): void {
    this.#writes.push(bytes)
    if (this.#writes.length === 1) queueMicrotask(() => { this.#flush() })
  }

  pause (): void { this.#socket.pause() }
  resume (): void { this.#socket.resume() }

  destroy (): void {
    this.#socket.destroy()
  }

  /** Ends the session in an orderly way. */
  close (): void {
    if (!this.#socket.destroyed) this.#socket.end(Buffer.from([0x58, 0, 0, 0, 4]))
  }

  async #logIn (address: UpstreamAddress, timeoutMs: number, applicationName: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const settle = (error?: unknown): void => {
        clearTimeout(timer)
        this.#login = undefined
        if (error === undefined) resolve()
        else {
          this.#socket.destroy()
          reject(error)
        }
      }
      const timer = setTimeout(() => { settle(new Error(`no log-in within ${timeoutMs} ms`)) }, timeoutMs)
      this.#login = UpstreamLogin.create({ address, applicationName, send: (bytes) => { this.#socket.write(bytes) }, settle })
      this.#socket.on('error', (error) => { this.#login === undefined ? this.#socket.destroy() : settle(error) })
      this.#socket.once('close', () => { this.#handleClose() })
      this.#socket.once('connect', () => { this.#login?.start() })
      this.#socket.on('data', (bytes: Buffer) => { this.#receive(bytes) })
    })
  }

  #flush (): void {
    const writes = this.#writes
    this.#writes = []
    if (this.#socket.destroyed) return
    this.#socket.write(writes.length === 1 ? writes[0] as Uint8Array : Buffer.concat(writes))
  }

  #receive (bytes: Buffer): void {
    try {
      this.#scanner.scan(bytes)
    } catch {
      this.#socket.destroy()
    }
  }

  #handleMessage (type: number, message: Buffer): void {
    if (type === backendMessage.backendKeyData) {
      this.#processId = message.readInt32BE(5)
      this.#secretKey = message.readInt32BE(9)
    } else if (this.#login !== undefined) {
      this.#login.handleMessage(type, message)
    } else if (type === backendMessage.readyForQuery) {
      this.#handleReady(String.fromCharCode(message[5] as number) as TransactionStatus)
    } else if (this.#exchanges[0] !== undefined) {
      this.#exchanges[0].handleMessage(type, message)
    } else if (type !== backendMessage.notice && type !== backendMessage.notification && type !== backendMessage.parameterStatus) {
      this.#socket.destroy()
    }
  }

  #handleReady (status: TransactionStatus): void {
    const exchange = this.#exchanges.shift()
    if (exchange === undefined) this.#socket.destroy()
    else exchange.handleReady(status)
  }

  #handleClose (): void {
    this.#login?.fail(new Error('connection closed during log-in'))
    const exchanges = this.#exchanges
    this.#exchanges = []
    for (const exchange of exchanges) exchange.handleClose('connection closed')
  }
}
