import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'
import { RowCollector } from '../upstream/row-collector.js'
import type { CollectedRows } from '../upstream/collected-rows.js'
import type { UpstreamConnection } from '../upstream/upstream-connection.js'
import { encodeErrorResponse } from '../upstream/encode-error-response.js'
import type { PooledConnection } from './pooled-connection.js'
import type { ResultRelay } from './result-relay.js'
import type { StatementOutcome } from './statement-outcome.js'

interface RunOptions {
  connection: PooledConnection
  params: Pick<ExecuteParams, 'frames' | 'statements'>
  readOnly: boolean
  relay: ResultRelay
  /** Whether to read the database's status after the work, on the same connection. */
  withStatus: boolean
}

const DEALLOCATING = /^(DEALLOCATE|DISCARD)/

/**
 * Runs frontend messages on a connection. Everything leaves in one write: switching the session, missing statements, the
 * work, and the status query behind it, whose position is at or after everything that the work read or wrote.
 */
export async function runStatement ({ connection, params, readOnly, relay, withStatus }: RunOptions): Promise<StatementOutcome> {
  const { upstream } = connection
  const switching = connection.switchReadOnly(readOnly)
  const switched = switching === undefined ? undefined : collect(upstream, switching)
  const preparation = connection.prepared.prepare(params)
  const prepared = preparation === undefined ? undefined : collect(upstream, preparation)
  upstream.send(params.frames, relay)
  const status = withStatus ? connection.status.run(upstream) : undefined
  const result = await relay.result
  if ((await switched)?.error !== undefined) upstream.destroy()
  const failed = (await prepared)?.error
  if (failed !== undefined) connection.prepared.clear()
  if (result.tags.some((tag) => DEALLOCATING.test(tag))) connection.prepared.clear()
  let databaseStatus = await status
  // The work ended a transaction unexpectedly, or removed the prepared status query.
  if (databaseStatus === undefined && result.status === 'I' && !result.isRejected && upstream.isOpen) databaseStatus = await connection.status.run(upstream)
  return {
    ...result,
    // Without its statement the work fails too; the cause is the better answer.
    ...(failed === undefined ? {} : { frames: encodeErrorResponse(failed), error: failed }),
    databaseStatus
  }
}

async function collect (upstream: UpstreamConnection, bytes: Uint8Array): Promise<CollectedRows> {
  return await new Promise((resolve) => {
    upstream.send(bytes, RowCollector.create((result) => {
      resolve('closed' in result ? { rows: [], error: { code: '08006', text: result.closed }, status: 'I' } : result)
    }))
  })
}
