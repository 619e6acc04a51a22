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

/** Upstream connection in a connection pool, with the settings and prepared statements of its session. */
export class PooledConnection {
  readonly upstream: UpstreamConnection
  readonly state = ConnectionState.create()
  readonly prepared = PreparedStatements.create()
  readonly status = StatusQuery.create()
  /** Slot held by the request or transaction on this connection. */
  slotId: string | undefined
  /** Identifier of the entry's peer connection whose session is pinned to this connection. */
  owner: string | undefined
  /** Time at which the idle transaction is rolled back; set while the connection is pinned and its session sends nothing. */
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

  /** Returns the query that makes the session read-only or writable, or undefined when the session already is. */
  switchReadOnly (readOnly: boolean): Buffer | undefined {
    if (readOnly === this.#isReadOnly) return undefined
    this.#isReadOnly = readOnly
    return serialize.query(`SET default_transaction_read_only = ${readOnly ? 'on' : 'off'}`)
  }

  /** Discards the session state. Resolves with false when the reset failed and the connection must be closed. */
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

  /** Cancels `requestId` if it is running. Resolves with true when the cancel request was delivered to the upstream. */
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
