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
  /** Whether to read the status of the database after the work, on the same connection. */
  withStatus: boolean
}

const DEALLOCATING_TAG_PATTERN = /^(DEALLOCATE|DISCARD)/

/**
 * Runs frontend messages on a connection. One socket write contains the change of the session's read-only setting, the missing
 * prepared statements, the work, and the status query. The position in that status is at or after all that the work read or wrote.
 */
export async function runStatement ({ connection, params, readOnly, relay, withStatus }: RunOptions): Promise<StatementOutcome> {
  const { upstream } = connection
  const switching = connection.switchReadOnly(readOnly)
  const switched = switching === undefined ? undefined : runInternalMessages(upstream, switching)
  const preparation = connection.prepared.prepare(params)
  const prepared = preparation === undefined ? undefined : runInternalMessages(upstream, preparation)
  upstream.send(params.frames, relay)
  const status = withStatus ? connection.status.run(upstream) : undefined
  const result = await relay.result
  if ((await switched)?.error !== undefined) upstream.destroy()
  const preparationError = (await prepared)?.error
  if (preparationError !== undefined) connection.prepared.clear()
  if (result.tags.some((tag) => DEALLOCATING_TAG_PATTERN.test(tag))) connection.prepared.clear()
  let databaseStatus = await status
  // The work ended a transaction unexpectedly or deallocated the prepared status query.
  if (databaseStatus === undefined && result.status === 'I' && !result.isRejected && upstream.isOpen) databaseStatus = await connection.status.run(upstream)
  return {
    ...result,
    // Work whose statement could not be prepared fails too. The error of the preparation shows the cause.
    ...(preparationError === undefined ? {} : { frames: encodeErrorResponse(preparationError), error: preparationError }),
    databaseStatus
  }
}

async function runInternalMessages (upstream: UpstreamConnection, bytes: Uint8Array): Promise<CollectedRows> {
  return await new Promise((resolve) => {
    upstream.send(bytes, RowCollector.create((result) => {
      resolve('closed' in result ? { rows: [], error: { code: '08006', text: result.closed }, status: 'I' } : result)
    }))
  })
}
