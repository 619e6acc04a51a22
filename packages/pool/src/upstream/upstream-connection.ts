import { connect, type Socket } from 'node:net'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { BackendMessageScanner } from './backend-message-scanner.js'
import { backendMessageTypes } from './backend-message-types.js'
import type { ResponseHandler } from './response-handler.js'
import { UpstreamLogin } from './upstream-login.js'
import type { UpstreamAddress } from './upstream-address.js'

interface OpenOptions {
  address: UpstreamAddress
  timeoutMs: number
  applicationName: string
}

/**
 * One connection to an upstream. Batches are pipelined, and responses are matched to them in order. A malformed message closes
 * the connection, and so does a message outside of a batch unless PostgreSQL may send it at any time.
 */
export class UpstreamConnection {
  readonly closed: Promise<void>
  readonly #socket: Socket
  readonly #scanner: BackendMessageScanner
  #responseHandlers: ResponseHandler[] = []
  #login: UpstreamLogin | undefined
  #processId = 0
  #secretKey = 0
  #writes: Uint8Array[] = []

  private constructor (socket: Socket) {
    this.#socket = socket
    this.#scanner = BackendMessageScanner.create((type, message) => { this.#handleMessage(type, message) })
    this.closed = new Promise((resolve) => { socket.once('close', () => { resolve() }) })
  }

  /** Connects and logs in. Rejects with the error of the socket, whose `code` distinguishes a refused connection from a timeout. */
  static async open ({ address, timeoutMs, applicationName }: OpenOptions): Promise<UpstreamConnection> {
    const socket = connect({ host: address.host, port: address.port, noDelay: true })
    const connection = new UpstreamConnection(socket)
    await connection.#logIn(address, timeoutMs, applicationName)
    return connection
  }

  get isOpen (): boolean { return !this.#socket.destroyed }
  get processId (): number { return this.#processId }
  get secretKey (): number { return this.#secretKey }

  /**
   * Sends a batch whose response contains exactly one ReadyForQuery. Batches sent in the same turn of the event loop go out in one
   * socket write.
   */
  send (bytes: Uint8Array, handler: ResponseHandler): void {
    if (this.#socket.destroyed) {
      handler.handleClose('connection closed')
      return
    }
    this.#responseHandlers.push(handler)
    this.write(bytes)
  }

  /** Sends bytes that belong to a batch in flight. */
  write (bytes: Uint8Array): void {
    this.#writes.push(bytes)
    if (this.#writes.length === 1) queueMicrotask(() => { this.#flush() })
  }

  pause (): void { this.#socket.pause() }
  resume (): void { this.#socket.resume() }

  destroy (): void {
    this.#socket.destroy()
  }

  /** Closes the session with a Terminate message. */
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
    if (type === backendMessageTypes.backendKeyData) {
      this.#processId = message.readInt32BE(5)
      this.#secretKey = message.readInt32BE(9)
    } else if (this.#login !== undefined) {
      this.#login.handleMessage(type, message)
    } else if (type === backendMessageTypes.readyForQuery) {
      this.#handleReady(String.fromCharCode(message[5] as number) as TransactionStatus)
    } else if (this.#responseHandlers[0] !== undefined) {
      this.#responseHandlers[0].handleMessage(type, message)
    } else if (type !== backendMessageTypes.notice && type !== backendMessageTypes.notification && type !== backendMessageTypes.parameterStatus) {
      this.#socket.destroy()
    }
  }

  #handleReady (status: TransactionStatus): void {
    const handler = this.#responseHandlers.shift()
    if (handler === undefined) this.#socket.destroy()
    else handler.handleReady(status)
  }

  #handleClose (): void {
    this.#login?.fail(new Error('connection closed during log-in'))
    const handlers = this.#responseHandlers
    this.#responseHandlers = []
    for (const handler of handlers) handler.handleClose('connection closed')
  }
}
