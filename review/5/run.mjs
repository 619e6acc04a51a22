// Another writer leaves entries in the directory of databases that cannot be read as addresses: their port does not exist.
import { fileURLToPath } from 'node:url'
import { delay } from '../stand-ins/delay.mjs'
import { runCase } from '../stand-ins/run-case.mjs'
import { turutasu } from '../stand-ins/turutasu.mjs'

const KEY = 'u6wsjnbanfqasnmgkcuy'
const CLIENTS = 6
const PAUSE_MS = 100
const ENTRY_AT_MS = 3000
const END_AT_MS = 40_000
/** A day is a fault if processes end by themselves this often on a tenth of the machines, two at least. */
const MAX_ENDS = 3
const MIN_HOSTS = 2

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), site: turutasu, play })

async function play (platform, hasTrouble) {
  const group = platform.createGroup({ name: 'toll', syncReplicas: 0, promoteMs: 1000, networkMs: 20 })
  for (const zone of Object.keys(turutasu.zones)) await platform.addDatabase(group, { id: `i-${zone}`, zone, lagMs: 60, workMs: 6 })
  platform.configure({
    version: 7,
    routes: [{ name: 'r-1', host: 'report', 'path-prefix': '/', type: 'bounded_staleness', 'timeout-ms': 2000, 'target-latency-ms': 1000, priority: 2, service: 'toll', attempts: 2, 'max-staleness-ms': 1500, public: false }],
    services: [{ name: 'toll', 'max-conns': 23, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'tartu', 'api-keys': [KEY], 'rate-per-s': 200, burst: 200 }]
  })
  const hosts = Object.keys(turutasu.zones).map((zone) => platform.startHost(`front-${zone}-1`, zone))
  await platform.waitUntilReady()
  platform.startBalancer()
  await delay(2000)

  const over = new AbortController()
  let served = 0
  let cut = 0
  const clients = Array.from({ length: CLIENTS }, async (_, index) => {
    let client
    while (!over.signal.aborted) {
      client ??= await platform.connect(platform.chooseHost(), { database: 'report', key: KEY, name: `client-${index + 1}` })
      const response = await client.query(`READ stall-${index}`)
      if (response.proof !== undefined) served++
      else if (response.code === undefined && !over.signal.aborted) cut++
      if (client.isClosed) client = undefined
      await delay(PAUSE_MS)
    }
  })
  if (hasTrouble) {
    setTimeout(() => {
      for (const zone of Object.keys(turutasu.zones)) {
        platform.store.put('servers', `i-other-${zone}`, {
          service: 'toll', address: '127.0.0.1:80800', zone, version: 'v1', slots: 3, state: 'ready', 'warmup-left-ms': 0, 'db-role': 'replica', sequence: 1, born: Date.now()
        })
      }
    }, ENTRY_AT_MS)
  }
  await delay(END_AT_MS)
  over.abort()
  for (const host of hosts) host.close()
  await Promise.all(clients)

  if (served === 0) throw new Error('no request was served')
  const ends = hosts.map(({ name, ownEnds }) => ({ name, count: ownEnds.length, reason: ownEnds[0]?.reason }))
  platform.record.add('check', `${served} requests were served, ${cut} connections ended without an answer; ends: ${ends.map(({ name, count }) => `${name} ${count}`).join(', ')}`)
  if (ends.filter(({ count }) => count >= MAX_ENDS).length < MIN_HOSTS) return []
  return ends.map(({ name, count, reason }) => `Fault: the process of ${name} ended by itself ${count} times: ${reason}`)
}
