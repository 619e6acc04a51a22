import type { ConnectionOptions } from 'node:tls'
import { cancel } from '@tanagerusher/protocol/peer/cancel'
import { execute, type ExecuteParams, type ExecuteResult } from '@tanagerusher/protocol/peer/execute'
import { executeChunk } from '@tanagerusher/protocol/peer/execute-chunk'
import { executeCredit } from '@tanagerusher/protocol/peer/execute-credit'
import { groupStatusNotification } from '@tanagerusher/protocol/peer/group-status'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { probeFloor } from '@tanagerusher/protocol/peer/probe-floor'
import { release } from '@tanagerusher/protocol/peer/release'
import { watchGroups } from '@tanagerusher/protocol/peer/watch-groups'
import type { GroupStatus } from '@tanagerusher/state/group/group-status'
import type { Position } from '@tanagerusher/state/position/position'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { ChunkReceiver } from './chunk-receiver.js'

interface OpenOptions {
  address: { host: string, port: number }
  hello: PeerHello
  tls?: ConnectionOptions
  handleStatus: (status: GroupStatus) => void
}

const RELEASE_TIMEOUT_MS = 5000
const CANCEL_TIMEOUT_MS = 5000
const WATCH_TIMEOUT_MS = 2000

/** Connection to one pool. Chunks without a registered receiver are dropped. */
export class PoolLink {
  readonly closed: Promise<void>
  readonly address: string
  readonly #connection: PeerConnection
  readonly #handleStatus: (status: GroupStatus) => void
  readonly #receivers = new Map<string, ChunkReceiver>()

  private constructor (connection: PeerConnection, address: string, handleStatus: (status: GroupStatus) => void) {
    this.#connection = connection
    this.#handleStatus = handleStatus
    this.address = address
    this.closed = connection.closed
    connection.addNotification(executeChunk, (chunk) => { this.#receivers.get(chunk.requestId)?.receiveChunk(chunk, this) })
    connection.addNotification(groupStatusNotification, handleStatus)
  }

  static async open ({ address, hello, tls, handleStatus }: OpenOptions): Promise<PoolLink> {
    const connection = await openPeerConnection({ ...address, hello, ...(tls === undefined ? {} : { tls }) })
    return new PoolLink(connection, `${address.host}:${address.port}`, handleStatus)
  }

  get isOpen (): boolean {
    return this.#connection.isOpen
  }

  /** Sends a request. Callers check `isOpen` in the same turn, so that a request on a closed link is known not to have been sent. */
  async execute (params: ExecuteParams, receiver: ChunkReceiver, timeoutMs: number): Promise<ExecuteResult> {
    this.#receivers.set(params.requestId, receiver)
    try {
      return await this.#connection.request(execute, params, timeoutMs)
    } finally {
      this.#receivers.delete(params.requestId)
    }
  }

  /** Registers the receiver again after the result: chunks may be handled later than the result of their request. */
  addReceiver (requestId: string, receiver: ChunkReceiver): void {
    this.#receivers.set(requestId, receiver)
  }

  removeReceiver (requestId: string): void {
    this.#receivers.delete(requestId)
  }

  addCredit (requestId: string, bytes: number): void {
    this.#connection.notify(executeCredit, { requestId, bytes })
  }

  async cancel (requestId: string): Promise<boolean> {
    return (await this.#connection.request(cancel, { requestId }, CANCEL_TIMEOUT_MS)).cancelled
  }

  /** Ends the session's transaction. Errors are ignored, because the pool ends the transaction itself when the link fails. */
  release (sessionId: string): void {
    this.#connection.request(release, { sessionId }, RELEASE_TIMEOUT_MS).catch(() => {})
  }

  async probeFloor (group: string, deadlineMs: number): Promise<Position> {
    return (await this.#connection.request(probeFloor, { group, deadlineMs }, deadlineMs)).position
  }

  async watchGroups (groups: string[]): Promise<void> {
    const { statuses } = await this.#connection.request(watchGroups, { groups }, WATCH_TIMEOUT_MS)
    for (const status of statuses) this.#handleStatus(status)
  }

  destroy (): void {
    this.#connection.destroy()
  }
}
