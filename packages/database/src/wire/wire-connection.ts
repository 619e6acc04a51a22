import type { Socket } from 'node:net'
import { BlockableChannel } from '../faults/blockable-channel.js'
import { Authentication, type AuthenticationStep } from './authentication.js'
import { BackendWriter } from './backend-writer.js'
import { BodyReader } from './body-reader.js'
import type { FrontendMessage } from './frontend-message.js'
import { FrontendReader } from './frontend-reader.js'
import type { SessionEnvironment } from './session-environment.js'
import { WireSession } from './wire-session.js'

interface CreateOptions {
  socket: Socket
  environment: SessionEnvironment
  processId: number
  /** One-way latency to this client. */
  latencyMs: number
  /** Counts the connection towards the connection limit; false when the limit is reached. */
  admit: (isControl: boolean) => boolean
  cancel: (processId: number, secret: number) => void
  handleClose: () => void
}

const PROTOCOL_VERSION = 196608
const CANCEL_REQUEST = 80877102
const SSL_REQUEST = 80877103
const GSS_ENCRYPTION_REQUEST = 80877104
const MAX_QUEUED_MESSAGES = 1000
const CONTROL_APPLICATION = 'tanagerusher-control'

/** Connection of one client: start-up, authentication, then a session. It applies pauses, partitions and latency to the bytes. */
export class WireConnection {
  readonly #options: CreateOptions
  readonly #reader = new FrontendReader()
  readonly #writer = BackendWriter.create()
  readonly #inbound: BlockableChannel<Buffer>
  /** Bytes for the client; null closes the connection after the bytes before it. */
  readonly #outbound: BlockableChannel<Buffer | null>
  readonly #unwatch: () => void
  readonly #queue: FrontendMessage[] = []
  #authentication: Authentication | undefined
  #startup: ReadonlyMap<string, string> = new Map()
  #session: WireSession | undefined
  #isBusy = false
  #isClosed = false

  private constructor (options: CreateOptions) {
    const { socket, environment: { faults, member }, latencyMs } = options
    this.#options = options
    const address = socket.remoteAddress ?? ''
    // Timers cannot wait less than 1 ms, so a latency below that is applied once per round trip, to the responses.
    const [inboundMs, outboundMs] = latencyMs < 1 ? [0, latencyMs * 2] : [latencyMs, latencyMs]
    this.#inbound = BlockableChannel.create({
      delayMs: inboundMs,
      isBlocked: () => faults.isPaused(member.name) || faults.isClientBlocked(member.name, address, 'requests'),
      deliver: (bytes) => { this.#receive(bytes) }
    })
    this.#outbound = BlockableChannel.create({
      delayMs: outboundMs,
      isBlocked: () => faults.isPaused(member.name) || faults.isClientBlocked(member.name, address, 'answers'),
      deliver: (bytes) => {
        if (bytes === null) socket.destroySoon()
        else if (socket.writable) socket.write(bytes)
      }
    })
    this.#unwatch = faults.watch(() => {
      this.#inbound.release()
      this.#outbound.release()
    })
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => { this.#inbound.push(bytes) })
    socket.on('error', () => { socket.destroy() })
    socket.once('close', () => { this.#handleClose() })
  }

  static create (options: CreateOptions): WireConnection {
    return new WireConnection(options)
  }

  get session (): WireSession | undefined { return this.#session }

  /** Drops the connection and cancels the running statement, so that it has no effect. */
  destroy (): void {
    this.#session?.cancel()
    this.#options.socket.destroy()
  }

  /** Closes the connection with error 57P01, as at a shutdown of the server. */
  end (): void {
    this.#writer.addError('FATAL', '57P01', 'terminating connection due to administrator command')
    this.#flush()
    this.#outbound.push(null)
  }

  #receive (bytes: Buffer): void {
    this.#reader.push(bytes)
    try {
      for (let message = this.#reader.next(); message !== undefined; message = this.#reader.next()) {
        if (!this.#reader.isStarted) this.#handleStartup(message.body)
        else this.#queue.push(message)
      }
    } catch {
      this.destroy()
      return
    }
    if (this.#queue.length > MAX_QUEUED_MESSAGES) this.#options.socket.pause()
    this.#handleQueue()
  }

  /** Handles messages in order until one has to wait. */
  #handleQueue (): void {
    while (!this.#isBusy && !this.#isClosed) {
      const message = this.#queue.shift()
      if (message === undefined) break
      const pending = this.#session === undefined ? this.#handleLogIn(message) : this.#session.handle(message, this.#queue[0])
      if (pending instanceof Promise) this.#waitFor(pending)
    }
    if (!this.#isClosed) this.#session?.flush()
    if (this.#queue.length <= MAX_QUEUED_MESSAGES && this.#options.socket.isPaused()) this.#options.socket.resume()
  }

  #waitFor (pending: Promise<void>): void {
    this.#isBusy = true
    void pending.finally(() => {
      this.#isBusy = false
      if (this.#isClosed) this.#session?.rollback()
      else this.#handleQueue()
    })
  }

  #handleStartup (body: Buffer): void {
    const reader = BodyReader.create(body)
    const code = reader.readInt32()
    if (code === SSL_REQUEST || code === GSS_ENCRYPTION_REQUEST) {
      this.#outbound.push(Buffer.from('N'))
    } else if (code === CANCEL_REQUEST) {
      this.#options.cancel(reader.readInt32(), reader.readInt32())
      this.#options.socket.end()
    } else if (code === PROTOCOL_VERSION) {
      this.#reader.isStarted = true
      this.#startup = readParameters(reader)
      this.#waitFor(this.#openSession())
    } else {
      this.#reject('0A000', 'unsupported frontend protocol')
    }
  }

  async #openSession (): Promise<void> {
    const { environment: { settings }, admit } = this.#options
    if (settings.connectionSetupMs > 0) await new Promise((resolve) => { setTimeout(resolve, settings.connectionSetupMs) })
    if (this.#isClosed) return
    const database = this.#startup.get('database') ?? this.#startup.get('user')
    if (!admit(this.#startup.get('application_name') === CONTROL_APPLICATION)) this.#reject('53300', 'sorry, too many clients already')
    else if (database !== settings.databaseName) this.#reject('3D000', `database "${database ?? ''}" does not exist`)
    else this.#startLogIn()
  }

  #startLogIn (): void {
    const { settings } = this.#options.environment
    this.#authentication = Authentication.create(settings.authentication, settings.password, this.#writer)
    this.#continueLogIn(this.#authentication.start())
  }

  #handleLogIn ({ type, body }: FrontendMessage): void {
    if (type !== 'p' || this.#authentication === undefined) this.destroy()
    else this.#continueLogIn(this.#authentication.handle(body))
  }

  #continueLogIn (step: AuthenticationStep): void {
    const { settings } = this.#options.environment
    const isKnownUser = this.#startup.get('user') === settings.user || settings.authentication === 'trust'
    if (step === 'rejected' || (step === 'accepted' && !isKnownUser)) {
      this.#writer.take()
      this.#reject('28P01', `password authentication failed for user "${this.#startup.get('user') ?? ''}"`)
      return
    }
    if (step === 'accepted') this.#startSession()
    else this.#flush()
  }

  #startSession (): void {
    const { environment, socket, processId } = this.#options
    this.#session = WireSession.create({
      environment,
      socket,
      processId,
      startup: this.#startup,
      writer: this.#writer,
      send: (bytes) => { this.#outbound.push(bytes) },
      end: () => { this.#outbound.push(null) }
    })
    this.#session.start()
  }

  #reject (sqlState: string, message: string): void {
    this.#writer.addError('FATAL', sqlState, message)
    this.#flush()
    this.#outbound.push(null)
  }

  #flush (): void {
    if (this.#writer.length > 0) this.#outbound.push(this.#writer.take())
  }

  #handleClose (): void {
    this.#isClosed = true
    this.#unwatch()
    this.#inbound.close()
    this.#outbound.close()
    this.#session?.close()
    if (!this.#isBusy) this.#session?.rollback()
    this.#options.handleClose()
  }
}

function readParameters (reader: BodyReader): Map<string, string> {
  const parameters = new Map<string, string>()
  for (let name = reader.readText(); name !== ''; name = reader.readText()) parameters.set(name, reader.readText())
  return parameters
}
