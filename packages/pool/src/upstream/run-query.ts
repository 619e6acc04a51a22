import { serialize } from 'pg-protocol'
import { RowCollector, type Row } from './row-collector.js'
import type { UpstreamConnection } from './upstream-connection.js'

/** Runs a statement of the pool itself. Rejects when the statement fails; `code` is the SQLSTATE if the upstream sent one. */
export async function runQuery (connection: UpstreamConnection, text: string): Promise<Row[]> {
  return await new Promise((resolve, reject) => {
    connection.send(serialize.query(text), RowCollector.create((result) => {
      if ('closed' in result) reject(new Error(result.closed))
      else if (result.error !== undefined) reject(Object.assign(new Error(result.error.text), { code: result.error.code }))
      else resolve(result.rows)
    }))
  })
}
