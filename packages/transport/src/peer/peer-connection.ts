import type { Socket } from 'node:net'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { peerErrorDataSchema } from '@tanagerusher/protocol/peer/peer-error-data'
import { peerHello, type PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { JSONRPCClient, JSONRPCErrorException, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import type { z } from 'zod'
import { FrameCodec } from './frame-codec.js'

/** Version 1 sends all keys in every message and cannot decode shared keys. */
const PROTOCOL_VERSION = 2
const JSON_RPC_ERROR_CODE = -32000
/**
 * Maximum number of messages in one write. Without a limit, all requests that arrive together would pass entry, pool and database
 * as one batch, and each process would be idle while another one works.
 */
const MAX_MESSAGES_PER_WRITE = 4
const SEND_BUFFER_LIMIT_BYTES = 8 * 1024 * 1024

interface MethodDefinition<Params extends z.ZodType, Result extends z.ZodType> {
  readonly method: string
  readonly params: Params
  readonly result: Result
}

interface NotificationDefinition<Params extends z.ZodType> {
  readonly method: string
  readonly params: Params
}

interface CreateOptions {
  socket: Socket
  hello: PeerHello
}

/**
 * JSON-RPC 2.0 connection between two processes; both sides may call methods of the other. It owns the socket. Requests in flight
 * when the connection closes are rejected with `peer-failed`.
 */
export class PeerConnection {
  readonly closed: Promise<void>
  /** Hello message of the peer; rejects when the connection closes before it arrives. */
  readonly remoteHello: Promise<PeerHello>
  readonly #socket: Socket
  readonly #codec = FrameCodec.create({ sharesKeys: true })
  readonly #rpc: JSONRPCServerAndClient
  #resolveHello!: (hello: PeerHello) => void
  #rejectHello!: (error: unknown) => void
  #pendingFrames: Buffer[] = []
  #bytesSent = 0
  #bytesReceived = 0

  private constructor (socket: Socket) {
    this.#socket = socket
    this.#rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => {} }),
      new JSONRPCClient((request) => { this.#send(request) })
    )
    this.remoteHello = new Promise((resolve, reject) => {
      this.#resolveHello = resolve
      this.#rejectHello = reject
    })
    this.remoteHello.catch(() => {})
    this.closed = new Promise((resolve) => { socket.once('close', () => { resolve() }) })
  }

  static create ({ socket, hello }: CreateOptions): PeerConnection {
    const connection = new PeerConnection(socket)
    connection.#start(hello)
    return connection
  }

  get bytesSent (): number { return this.#bytesSent }
  get bytesReceived (): number { return this.#bytesReceived }
  get isOpen (): boolean { return !this.#socket.destroyed }

  /** Calls a method of the peer. The call is rejected after `timeoutMs`; a later response is dropped. */
  async request<Params extends z.ZodType, Result extends z.ZodType> (
    definition: MethodDefinition<Params, Result>, params: z.input<Params>, timeoutMs: number
  ): Promise<z.infer<Result>> {
    if (this.#socket.destroyed) throw TanagerusherError.create('peer-failed', { details: { peer: this.#formatAddress(), reason: 'connection closed' } })
    try {
      return await this.#rpc.timeout(timeoutMs).request(definition.method, params) as z.infer<Result>
    } catch (error) {
      throw createErrorFromPeer(error, this.#formatAddress())
    }
  }

  notify<Params extends z.ZodType> (definition: NotificationDefinition<Params>, params: z.input<Params>): void {
    if (!this.#socket.destroyed) this.#rpc.notify(definition.method, params)
  }

  /** Registers the handler of a method. Parameters are checked against the schema before it is called. */
  addMethod<Params extends z.ZodType, Result extends z.ZodType> (
    definition: MethodDefinition<Params, Result>, handle: (params: z.infer<Params>) => Promise<z.input<Result>>
  ): void {
    this.#rpc.addMethod(definition.method, async (params: unknown) => {
      try {
        return await handle(parseParams(definition, params))
      } catch (error) {
        throw createRpcException(error)
      }
    })
  }

  addNotification<Params extends z.ZodType> (definition: NotificationDefinition<Params>, handle: (params: z.infer<Params>) => void): void {
    this.#rpc.addMethod(definition.method, (params: unknown) => { handle(parseParams(definition, params)) })
  }

  close (): void {
    this.#socket.end()
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #start (hello: PeerHello): void {
    this.#socket.setNoDelay(true)
    this.#socket.on('data', (bytes: Buffer) => { this.#receive(bytes) })
    this.#socket.on('error', () => { this.#socket.destroy() })
    this.#socket.once('close', () => { this.#handleClose() })
    this.addNotification(peerHello, (remote) => { this.#handleHello(remote) })
    this.notify(peerHello, hello)
  }

  #handleHello (remote: PeerHello): void {
    if (remote.protocolVersions.includes(PROTOCOL_VERSION)) this.#resolveHello(remote)
    else this.#socket.destroy()
  }

  #handleClose (): void {
    const error = TanagerusherError.create('peer-failed', { details: { peer: this.#formatAddress(), reason: 'connection closed' } })
    this.#rejectHello(error)
    this.#rpc.rejectAllPendingRequests('connection closed')
  }

  #receive (bytes: Buffer): void {
    this.#bytesReceived += bytes.length
    try {
      for (const message of this.#codec.decode(bytes)) this.#dispatch(message)
    } catch {
      this.#socket.destroy()
    }
  }

  #dispatch (message: unknown): void {
    this.#rpc.receiveAndSend(message).catch(() => { this.#socket.destroy() })
  }

  #send (message: unknown): void {
    const frame = this.#encode(message)
    this.#bytesSent += frame.length
    this.#pendingFrames.push(frame)
    if (this.#pendingFrames.length >= MAX_MESSAGES_PER_WRITE) this.#flush()
    else if (this.#pendingFrames.length === 1) setImmediate(() => { this.#flush() })
  }

  #encode (message: unknown): Buffer {
    try {
      return this.#codec.encode(message)
    } catch (error) {
      this.#socket.destroy()
      throw error
    }
  }

  #flush (): void {
    const frames = this.#pendingFrames
    this.#pendingFrames = []
    if (this.#socket.destroyed || frames.length === 0) return
    if (this.#socket.writableLength > SEND_BUFFER_LIMIT_BYTES) {
      this.#socket.destroy()
      return
    }
    this.#socket.write(frames.length === 1 ? frames[0] as Buffer : Buffer.concat(frames))
  }

  #formatAddress (): string {
    return `${this.#socket.remoteAddress ?? 'unknown'}:${this.#socket.remotePort ?? 0}`
  }
}

function parseParams<Params extends z.ZodType> (definition: NotificationDefinition<Params>, params: unknown): z.infer<Params> {
  const parsed = definition.params.safeParse(params)
  if (parsed.success) return parsed.data
  throw TanagerusherError.create('protocol-violation', { details: { reason: `${definition.method}: ${parsed.error.issues[0]?.message ?? 'invalid'}` } })
}

function createRpcException (error: unknown): JSONRPCErrorException {
  const typedError = error instanceof TanagerusherError
    ? error
    : TanagerusherError.create('internal', { details: { reason: String(error) } })
  return new JSONRPCErrorException(typedError.message, JSON_RPC_ERROR_CODE, { kind: typedError.kind, details: typedError.details })
}

function createErrorFromPeer (error: unknown, peer: string): TanagerusherError {
  const data = peerErrorDataSchema.safeParse((error as { data?: unknown }).data)
  if (data.success) return TanagerusherError.create(data.data.kind, { details: data.data.details })
  return TanagerusherError.create('peer-failed', { details: { peer, reason: String((error as Error).message ?? error) }, cause: error })
}
