import type { Socket } from 'node:net'
import { FrameCodec } from '@tanagerusher/transport/peer/frame-codec'
import type { FaultState } from '../faults/fault-state.js'
import { BlockableChannel } from '../faults/blockable-channel.js'
import type { ReplicationMessage } from './replication-message.js'

interface CreateOptions {
  socket: Socket
  /** Database at this end. */
  local: string
  /** Database at the other end; absent for an accepted link, where the `follow` message names it. */
  remote?: string
  faults: FaultState
  computeLatencyMs: (remote: string) => number
  handleMessage: (message: ReplicationMessage) => void
  handleClose: () => void
}

/** One end of a replication link. It owns the socket and applies the faults (partitions, pauses) and the latency to the messages. */
export class ReplicationLink {
  readonly #options: CreateOptions
  readonly #codec = FrameCodec.create()
  readonly #inbound: BlockableChannel<ReplicationMessage>
  readonly #unwatch: () => void
  #outbound: BlockableChannel<Buffer> | undefined
  #remote: string | undefined

  private constructor (options: CreateOptions) {
    const { socket, local, faults } = options
    this.#options = options
    this.#inbound = BlockableChannel.create({
      delayMs: 0,
      isBlocked: () => faults.isPaused(local) || faults.isLinkBlocked(this.#remote ?? '', local),
      deliver: (message) => { options.handleMessage(message) }
    })
    this.#unwatch = faults.watch(() => {
      this.#inbound.release()
      this.#outbound?.release()
    })
    if (options.remote !== undefined) this.#setRemote(options.remote)
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => { this.#receive(bytes) })
    socket.on('error', () => { socket.destroy() })
    socket.once('close', () => { this.#handleClose() })
  }

  static create (options: CreateOptions): ReplicationLink {
    return new ReplicationLink(options)
  }

  get remote (): string | undefined { return this.#remote }
  /** Whether outgoing messages are held until a partition or a pause ends. */
  get hasHeldItems (): boolean { return this.#outbound?.hasHeldItems ?? false }

  send (message: ReplicationMessage): void {
    this.sendBytes(this.encode(message))
  }

  /** Encodes a message once, so that its bytes can be sent over several links. */
  encode (message: ReplicationMessage): Buffer {
    return this.#codec.encode(message)
  }

  sendBytes (bytes: Buffer): void {
    this.#outbound?.push(bytes)
  }

  destroy (): void {
    this.#options.socket.destroy()
  }

  #setRemote (remote: string): void {
    const { socket, local, faults, computeLatencyMs } = this.#options
    this.#remote = remote
    this.#outbound = BlockableChannel.create({
      delayMs: computeLatencyMs(remote),
      isBlocked: () => faults.isPaused(local) || faults.isLinkBlocked(local, remote),
      deliver: (bytes) => { if (!socket.destroyed) socket.write(bytes) }
    })
  }

  #receive (bytes: Buffer): void {
    try {
      for (const message of this.#codec.decode(bytes) as ReplicationMessage[]) {
        if (message.type === 'follow' && this.#remote === undefined) this.#setRemote(message.from)
        this.#inbound.push(message)
      }
    } catch {
      this.destroy()
    }
  }

  #handleClose (): void {
    this.#unwatch()
    this.#inbound.close()
    this.#outbound?.close()
    this.#options.handleClose()
  }
}
