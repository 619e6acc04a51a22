import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { SessionEnvironment } from './session-environment.js'
import { WireConnection } from './wire-connection.js'

interface CreateOptions {
  environment: SessionEnvironment
  address: string
  port: number
  /** One-way latency to the client with this address. */
  computeLatencyMs: (clientAddress: string) => number
}

const CLOSE_TIMEOUT_MS = 1000

/** PostgreSQL protocol server of one database. */
export class WireServer {
  readonly #options: CreateOptions
  readonly #connections = new Map<number, WireConnection>()
  #server: Server | undefined
  #port: number
  #nextProcessId = 1

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#port = options.port
  }

  static create (options: CreateOptions): WireServer {
    return new WireServer(options)
  }

  get port (): number { return this.#port }

  /** Listens; a restart after `stop` uses the same port. */
  async start (): Promise<void> {
    const server = createServer({ allowHalfOpen: false }, (socket) => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.#port, this.#options.address, resolve)
    })
    this.#port = (server.address() as AddressInfo).port
  }

  /** Refuses new connections and drops the existing ones, as a crash does. */
  async stop (): Promise<void> {
    const closed = this.#stopListening()
    this.#destroyConnections()
    await closed
  }

  /** Refuses new connections and closes the existing ones with error 57P01. */
  async close (): Promise<void> {
    const closed = this.#stopListening()
    for (const connection of this.#connections.values()) connection.end()
    // While the database is paused or a client is cut off, the final error is not delivered and the connection would stay open.
    const timer = setTimeout(() => { this.#destroyConnections() }, CLOSE_TIMEOUT_MS)
    await closed
    clearTimeout(timer)
  }

  #destroyConnections (): void {
    for (const connection of this.#connections.values()) connection.destroy()
  }

  #stopListening (): Promise<void> {
    const server = this.#server
    this.#server = undefined
    return new Promise((resolve) => { server === undefined ? resolve() : server.close(() => { resolve() }) })
  }

  #accept (socket: Socket): void {
    const { environment, computeLatencyMs } = this.#options
    const processId = this.#nextProcessId++
    let isAdmitted = false
    const connection = WireConnection.create({
      socket,
      environment,
      processId,
      latencyMs: computeLatencyMs(socket.remoteAddress ?? ''),
      admit: (isControl) => {
        isAdmitted = this.#admit(isControl)
        return isAdmitted
      },
      cancel: (target, secret) => { this.#cancel(target, secret) },
      handleClose: () => {
        this.#connections.delete(processId)
        if (isAdmitted) environment.member.connections--
      }
    })
    this.#connections.set(processId, connection)
  }

  #admit (isControl: boolean): boolean {
    const { settings, member } = this.#options.environment
    const limit = settings.connections + (isControl ? settings.reservedConnections : 0)
    if (member.connections >= limit) return false
    member.connections++
    return true
  }

  #cancel (processId: number, secret: number): void {
    const session = this.#connections.get(processId)?.session
    if (session?.secret === secret) session.cancel()
  }
}
