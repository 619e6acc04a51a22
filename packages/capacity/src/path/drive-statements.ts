import { build } from 'hdr-histogram-js'
import pg from 'pg'
import type { DriveResult } from './drive-result.js'

const MICROSECONDS_PER_MS = 1000

interface DriveOptions {
  connection: pg.ClientConfig
  clients: number
  seconds: number
  statement: (sequence: number) => string
}

/** Runs statements in closed loops over a fixed number of connections. */
export async function driveStatements ({ connection, clients, seconds, statement }: DriveOptions): Promise<DriveResult> {
  const histogram = build()
  const counts = { done: 0, failures: 0, sequence: 0 }
  const connected = await Promise.all(Array.from({ length: clients }, async () => {
    const client = new pg.Client(connection)
    client.on('error', () => {})
    await client.connect()
    return client
  }))
  const start = performance.now()
  const end = start + seconds * 1000
  await Promise.all(connected.map(async (client) => {
    for (let now = performance.now(); now < end; now = performance.now()) {
      const failed = await client.query(statement(counts.sequence++)).then(() => false, () => true)
      histogram.recordValue(Math.max(1, Math.round((performance.now() - now) * MICROSECONDS_PER_MS)))
      failed ? counts.failures++ : counts.done++
    }
  }))
  const elapsed = (performance.now() - start) / 1000
  await Promise.all(connected.map((client) => client.end()))
  return { perSecond: counts.done / elapsed, failures: counts.failures, histogram }
}
