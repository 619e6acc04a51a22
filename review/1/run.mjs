// A primary crashes while one of its two replicas leaves and the other one has received nothing for some seconds.
import { fileURLToPath } from 'node:url'
import { correiaBelt } from '../stand-ins/correia-belt.mjs'
import { delay } from '../stand-ins/delay.mjs'
import { runCase } from '../stand-ins/run-case.mjs'

const KEY = 'u6wsjnbanfqasnmgkcuy'
const WRITERS = 6
const PAUSE_MS = 100
/** Times from the start of traffic. */
const RELEASE_AT_MS = 4000
const DEAF_AT_MS = 5000
const CRASH_AT_MS = 7000
const END_AT_MS = 14_000
/** Longest time for which a replica receives nothing on this site. */
const DEAF_MS = 6000
/** Whether the replica leaves. Without it, `replica_lag` with `deaf crash` is the only disruption. */
const hasRelease = process.env.RELEASE !== '0'

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), site: correiaBelt, play })

async function play (platform, hasTrouble) {
  const group = platform.createGroup({ name: 'blank', syncReplicas: 1, promoteMs: 300, networkMs: 8 })
  const primary = await platform.addDatabase(group, { id: 'i-primary', zone: 'braga-a', lagMs: 8, workMs: 11 })
  const leaving = await platform.addDatabase(group, { id: 'i-leaving', zone: 'coimbra-a', lagMs: 8, workMs: 11 })
  const deaf = await platform.addDatabase(group, { id: 'i-deaf', zone: 'faro-a', lagMs: 8, workMs: 11 })
  platform.configure({
    version: 7,
    routes: [{ name: 'r-1', host: 'orders', 'path-prefix': '/', type: 'primary', 'timeout-ms': 1000, 'target-latency-ms': 400, priority: 1, service: 'blank', attempts: 2, public: false }],
    services: [{ name: 'blank', 'max-conns': 50, 'sync-replicas': 1 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'buyers', 'api-keys': [KEY], 'rate-per-s': 200, burst: 200 }]
  })
  const hosts = ['braga-a', 'coimbra-a', 'faro-a'].map((zone) => platform.startHost(`front-${zone}-1`, zone))
  await platform.waitUntilReady()
  await delay(2000)

  const acknowledged = []
  const over = new AbortController()
  const writers = Array.from({ length: WRITERS }, async (_, index) => {
    const name = `writer-${index + 1}`
    let client
    for (let number = 1; !over.signal.aborted; number++) {
      client ??= await platform.connect(hosts[index % hosts.length], { database: 'orders', key: KEY, name })
      const data = `${name}.${number}`
      const response = await client.query(`WRITE order-${index} ${data}`)
      if (response.proof !== undefined) acknowledged.push({ data, ...response })
      if (client.isClosed) client = undefined
      await delay(PAUSE_MS)
    }
  })

  if (hasTrouble) {
    if (hasRelease) setTimeout(() => { leaving.state = 'draining'; leaving.register() }, RELEASE_AT_MS)
    setTimeout(() => { deaf.isDeaf = true; platform.record.add(deaf.id, 'receives nothing') }, DEAF_AT_MS)
    setTimeout(() => { deaf.isDeaf = false; group.catchUp(deaf) }, DEAF_AT_MS + DEAF_MS)
    setTimeout(() => { primary.crash() }, CRASH_AT_MS)
  }
  await delay(END_AT_MS)
  over.abort()
  await Promise.all(writers)

  if (acknowledged.length === 0) throw new Error('no write was acknowledged')
  if (hasTrouble && group.promotions.length === 0) throw new Error('no database was promoted')
  platform.record.add('check', `${acknowledged.length} commits were acknowledged; promotions: ${group.promotions.map(({ id, log }) => `${id} with ${log.length} entries`).join(', ') || 'none'}`)
  return group.promotions.flatMap(({ id, log, at }) => {
    const present = new Set(log.map((entry) => entry.data))
    return acknowledged.filter(({ data, answeredAt }) => answeredAt < at && !present.has(data))
      .map(({ data, id: request, answeredAt }) => `LOST: commit ${data} (${request}), acknowledged at ${answeredAt.toFixed(0)} ms, is not in the log of ${id}, promoted at ${at.toFixed(0)} ms`)
  })
}
