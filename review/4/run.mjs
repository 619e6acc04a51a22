// Hosts are stopped and started in turn while a tenant asks for more than its rate, so that its operations wait for tokens.
import { fileURLToPath } from 'node:url'
import { delay } from '../stand-ins/delay.mjs'
import { runCase } from '../stand-ins/run-case.mjs'
import { turutasu } from '../stand-ins/turutasu.mjs'

const KEY = 'u6wsjnbanfqasnmgkcuy'
const RATE_PER_SECOND = 20
const CLIENTS = 60
/** Longest pause of a client before it connects again. */
const MAX_PAUSE_MS = 300
const LOSS_SLACK_MS = 200
const ROUTE_TIMEOUT_MS = 800
const GRACE_MS = turutasu.bounds['grace-s'] * 1000
/** Pause between two stops of `roll_term` on this site. */
const GAP_MS = 2000
const ROUNDS = 2

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), site: turutasu, play })

async function play (platform, hasTrouble) {
  const group = platform.createGroup({ name: 'toll', syncReplicas: 0, promoteMs: 1000, networkMs: 20 })
  for (const zone of Object.keys(turutasu.zones)) await platform.addDatabase(group, { id: `i-${zone}`, zone, lagMs: 60, workMs: 6 })
  platform.configure({
    version: 7,
    routes: [{ name: 'r-1', host: 'gate', 'path-prefix': '/', type: 'primary', 'timeout-ms': ROUTE_TIMEOUT_MS, 'target-latency-ms': 600, priority: 1, service: 'toll', attempts: 2, public: false }],
    services: [{ name: 'toll', 'max-conns': 23, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'narva', 'api-keys': [KEY], 'rate-per-s': RATE_PER_SECOND, burst: RATE_PER_SECOND }]
  })
  const hosts = Object.keys(turutasu.zones).map((zone) => platform.startHost(`front-${zone}-1`, zone))
  await platform.waitUntilReady()
  platform.startBalancer()
  await delay(3000)

  const over = new AbortController()
  let answered = 0
  const unanswered = []
  const clients = Array.from({ length: CLIENTS }, async (_, index) => {
    const name = `client-${index + 1}`
    while (!over.signal.aborted) {
      await delay(Math.random() * MAX_PAUSE_MS)
      const host = platform.chooseHost()
      const client = await platform.connect(host, { database: 'gate', key: KEY, name })
      while (!client.isClosed && !over.signal.aborted) {
        const response = await client.query(`READ stall-${index}`)
        if (response.proof !== undefined || response.code !== undefined) answered++
        else if (!over.signal.aborted) unanswered.push({ name, host, endedAt: response.answeredAt, ...response })
        // After BUSY, which is a promise, the client tries again with a new id.
        await delay(1)
      }
      client.close()
    }
  })
  const stops = []
  for (let stop = 0; stop < ROUNDS * hosts.length; stop++) {
    const host = hosts[stop % hosts.length]
    const stoppedAt = platform.record.readTime()
    if (hasTrouble) await host.stop(GRACE_MS)
    else await delay(GRACE_MS)
    stops.push({ host, stoppedAt, endedAt: platform.record.readTime() })
    if (hasTrouble) host.start()
    await platform.waitUntilReady()
    await delay(GAP_MS)
  }
  over.abort()
  for (const host of hosts) host.close()
  await Promise.all(clients)

  if (answered === 0) throw new Error('no request was answered')
  platform.record.add('check', `${answered} requests were answered, the connections of ${unanswered.length} ended without an answer`)
  return unanswered.flatMap(({ name, host, id, sentAt, endedAt }) => {
    const stop = stops.find((candidate) => candidate.host === host && sentAt > candidate.stoppedAt && endedAt < candidate.stoppedAt + GRACE_MS + 1000)
    if (stop === undefined || endedAt - sentAt <= LOSS_SLACK_MS || endedAt - sentAt >= ROUTE_TIMEOUT_MS) return []
    return [`LOST: READ (${id}) of ${name}, sent ${(sentAt - stop.stoppedAt).toFixed(0)} ms after SIGTERM of ${host.name}, got no answer; the connection ended ${(endedAt - sentAt).toFixed(0)} ms later`]
  })
}
