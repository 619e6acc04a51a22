// A primary is dark for less than three seconds and another one is promoted. It is back as a replica that receives nothing for some
// seconds, and a client that paused inside a transaction at it ends the transaction.
import { fileURLToPath } from 'node:url'
import { delay } from '../stand-ins/delay.mjs'
import { runCase } from '../stand-ins/run-case.mjs'
import { correiaBelt } from '../stand-ins/correia-belt.mjs'

const KEY = 'u6wsjnbanfqasnmgkcuy'
const MAX_STALENESS_MS = 1500
const DARK_MS = 2800
/** From the time at which the primary is back. */
const DEAF_MS = 6000
/** Pause inside the transaction, shorter than `tx-idle-ms`. */
const PAUSE_MS = 2900
const WRITERS = 4
const WRITE_PAUSE_MS = 100

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), site: correiaBelt, play })

async function play (platform, hasTrouble) {
  const { record } = platform
  const group = platform.createGroup({ name: 'blank', syncReplicas: 0, promoteMs: 300, networkMs: 8 })
  const old = await platform.addDatabase(group, { id: 'i-faro', zone: 'faro-a', lagMs: 8, workMs: 11 })
  await platform.addDatabase(group, { id: 'i-braga', zone: 'braga-a', lagMs: 8, workMs: 11 })
  await platform.addDatabase(group, { id: 'i-coimbra', zone: 'coimbra-a', lagMs: 8, workMs: 11 })
  const buildRoute = (name, host, type, timeoutMs) => ({ name, host, 'path-prefix': '/', type, 'timeout-ms': timeoutMs, 'target-latency-ms': 1000, priority: 1, service: 'blank', attempts: 2, 'max-staleness-ms': MAX_STALENESS_MS, public: false })
  platform.configure({
    version: 7,
    routes: [buildRoute('r-1', 'orders', 'primary', 1000), buildRoute('r-2', 'stock', 'bounded_staleness', 3000)],
    services: [{ name: 'blank', 'max-conns': 50, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'buyers', 'api-keys': [KEY], 'rate-per-s': 200, burst: 200 }]
  })
  const [braga, coimbra, faro] = Object.keys(correiaBelt.zones).map((zone) => platform.startHost(`front-${zone}-1`, zone))
  await platform.waitUntilReady()
  await delay(2000)

  const over = new AbortController()
  const acknowledged = []
  const writers = Array.from({ length: WRITERS }, async (_, index) => {
    const name = `writer-${index + 1}`
    const client = await platform.connect(index % 2 === 0 ? braga : coimbra, { database: 'orders', key: KEY, name })
    for (let number = 1; !over.signal.aborted; number++) {
      const response = await client.query(`WRITE hide-${index} ${name}.${number}`)
      if (response.proof !== undefined) acknowledged.push({ data: `${name}.${number}`, ...response })
      await delay(WRITE_PAUSE_MS)
    }
  })
  const reader = await platform.connect(faro, { database: 'orders', key: KEY, name: 'reader' })
  const reports = await platform.connect(faro, { database: 'stock', key: KEY, name: 'reports' })
  await delay(3000)

  await reader.query('BEGIN')
  await reader.query('READ hide-0')
  if (hasTrouble) {
    old.goDark(DARK_MS)
    setTimeout(() => { old.isDeaf = !old.isPrimary; record.add(old.id, 'receives nothing') }, DARK_MS - 1)
    setTimeout(() => { old.isDeaf = false; group.catchUp(old) }, DARK_MS + DEAF_MS)
  }
  await delay(PAUSE_MS)
  await reader.query('COMMIT')
  const reads = []
  for (let read = 0; read < 20; read++) {
    reads.push(await reports.query('READ hide-0'))
    await delay(50)
  }
  over.abort()
  await Promise.all(writers)

  if (!reads.some(({ proof }) => proof !== undefined)) throw new Error('no read was served')
  if (hasTrouble && group.promotions.length === 0) throw new Error('no database was promoted')
  return group.databases.flatMap(({ id: database, runs }) => runs.flatMap(({ id, log }) => {
    const read = reads.find((candidate) => candidate.id === id)
    if (read === undefined) return []
    const kept = new Set(group.primary.log.map((entry) => entry.data))
    const present = new Set(log)
    const missing = acknowledged.filter(({ data, answeredAt }) => answeredAt < read.sentAt - MAX_STALENESS_MS && kept.has(data) && !present.has(data))
    if (missing.length === 0) return []
    const { data, answeredAt } = missing[0]
    return [`STALE: READ (${id}) ran on ${database} and got ${read.rows[0]}; its log lacks ${missing.length} commits that were acknowledged more than ${MAX_STALENESS_MS} ms before, the first ${(read.sentAt - answeredAt).toFixed(0)} ms before (${data})`]
  }))
}
