import { serialize } from 'pg-protocol'
import { ConnectionState } from '@tanagerusher/coordination/transaction/connection-state'
import { runQuery } from '../upstream/run-query.js'
import { sendCancelRequest } from '../upstream/send-cancel-request.js'
import { UpstreamConnection } from '../upstream/upstream-connection.js'
import type { UpstreamAddress } from '../upstream/upstream-address.js'
import { PreparedStatements } from './prepared-statements.js'
import { StatusQuery } from './status-query.js'

interface OpenOptions {
  address: UpstreamAddress
  timeoutMs: number
  applicationName: string
}

/** An upstream connection of a database's pool, with what its session has been set to. */
export class PooledConnection {
  readonly upstream: UpstreamConnection
  readonly state = ConnectionState.create()
  readonly prepared = PreparedStatements.create()
  readonly status = StatusQuery.create()
  /** Slot that the connection's request or transaction holds. */
  slotId: string | undefined
  /** Peer connection of the entry whose session is pinned. */
  owner: string | undefined
  /** Set while the connection is pinned and its session sends nothing. */
  idleDeadline: number | undefined
  #isReadOnly = false
  readonly #address: UpstreamAddress

  private constructor (upstream: UpstreamConnection, address: UpstreamAddress) {
    this.upstream = upstream
    this.#address = address
  }

  static async open (options: OpenOptions): Promise<PooledConnection> {
    return new PooledConnection(await UpstreamConnection.open(options), options.address)
  }

  get isReadOnly (): boolean { return this.#isReadOnly }

  /** Query that makes the session read-only or writable; undefined when it is already. */
  switchReadOnly (readOnly: boolean): Buffer | undefined {
    if (readOnly === this.#isReadOnly) return undefined
    this.#isReadOnly = readOnly
    return serialize.query(`SET default_transaction_read_only = ${readOnly ? 'on' : 'off'}`)
  }

  /** Clears session state. False when the connection cannot be used any more. */
  async reset (): Promise<boolean> {
    this.prepared.clear()
    this.status.clear()
    this.#isReadOnly = false
    try {
      await runQuery(this.upstream, 'DISCARD ALL')
      return true
    } catch {
      return false
    }
  }

  /** Cancels `requestId` if it is what runs now. Resolves true when the upstream has taken the signal. */
  async cancel (requestId: string): Promise<boolean> {
    if (!this.state.startCancel(requestId)) return false
    const { host, port } = this.#address
    const delivered = await sendCancelRequest({ host, port, processId: this.upstream.processId, secretKey: this.upstream.secretKey })
    this.state.finishCancel(delivered)
    return delivered
  }

  destroy (): void {
    this.state.destroy()
    this.upstream.destroy()
  }
}
