import { build } from 'hdr-histogram-js'
import pg from 'pg'
import type { ClosedLoopResult } from './closed-loop-result.js'

const MICROSECONDS_PER_MS = 1000

interface RunOptions {
  connection: pg.ClientConfig
  clients: number
  seconds: number
  statement: (sequence: number) => string
}

/** Runs statements in a closed loop on each of a fixed number of connections. */
export async function runClosedLoop ({ connection, clients, seconds, statement }: RunOptions): Promise<ClosedLoopResult> {
  const histogram = build()
  const counts = { successes: 0, failures: 0, sequence: 0 }
  const connectedClients = await Promise.all(Array.from({ length: clients }, async () => {
    const client = new pg.Client(connection)
    client.on('error', () => {})
    await client.connect()
    return client
  }))
  const start = performance.now()
  const end = start + seconds * 1000
  await Promise.all(connectedClients.map(async (client) => {
    for (let now = performance.now(); now < end; now = performance.now()) {
      const failed = await client.query(statement(counts.sequence++)).then(() => false, () => true)
      histogram.recordValue(Math.max(1, Math.round((performance.now() - now) * MICROSECONDS_PER_MS)))
      failed ? counts.failures++ : counts.successes++
    }
  }))
  const elapsed = (performance.now() - start) / 1000
  await Promise.all(connectedClients.map((client) => client.end()))
  return { perSecond: counts.successes / elapsed, failures: counts.failures, histogram }
}
