import { fileURLToPath } from 'node:url'
import { Client } from '../stand-ins-2/client.mjs'
import { Fleet, sleep } from '../stand-ins-2/fleet.mjs'
import { Group } from '../stand-ins-2/group.mjs'
import { Promotion } from '../stand-ins-2/promotion.mjs'
import { runCase } from '../stand-ins-2/run-case.mjs'
import { Store } from '../stand-ins-2/store.mjs'

const ZONES = ['braga-a', 'coimbra-a', 'faro-a']
const KEY = 'u6wsjnbanfqasnmgkcuy'
const RATE_PER_SECOND = 300
const BURST = 100
const WINDOW_MS = 5000
const LIMIT = (RATE_PER_SECOND * WINDOW_MS / 1000 + BURST) * 1.1 + 20
/** The pages allow 1 to 6 s for a write that gets no answer. */
const LATE_WRITE_MS = 5900
/** Hosts whose write at SIGTERM gets no answer. */
const HOSTS_WITH_LOST_ANSWER = [0, 2, 4]
const CLIENTS_PER_HOST = 16
const LOAD_MS = 20_000
const PAUSE_MS = 60

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ hasTrouble, record, resources }) => {
  const store = await Store.open()
  resources.push(store)
  const group = await Group.open({ name: 'huvo11a', zones: ZONES, store })
  resources.push(group)
  const promotion = await Promotion.open({ groups: [group], record })
  resources.push(promotion)
  store.put('config', 'main', {
    version: 7,
    routes: [{ name: 'r-1', host: 'browse', type: 'bounded_staleness', 'timeout-ms': 3000, 'target-latency-ms': 1000, priority: 2, service: group.name, 'max-staleness-ms': 1500, public: false }],
    services: [{ name: group.name, 'max-conns': 50, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'nypu920', 'api-keys': [KEY], 'rate-per-s': RATE_PER_SECOND, burst: BURST }]
  })
  const fleet = await Fleet.open({ zones: [...ZONES, ...ZONES], storeAddress: store.address, promotionAddress: promotion.address, record })
  resources.push(fleet)
  await fleet.startAll()
  await sleep(1000)

  const writesBefore = store.writes
  let lostAnswers = 0
  const unanswered = hasTrouble ? HOSTS_WITH_LOST_ANSWER.map((index) => fleet.hosts[index].name) : []
  store.delayWrite = ({ method, kind, name, spec }) => {
    if (method !== 'PUT' || spec?.isLeaving !== true || !unanswered.includes(spec.host)) return undefined
    lostAnswers++
    record(`${method} ${kind}/${name} gets no answer and is done in ${LATE_WRITE_MS} ms`)
    return LATE_WRITE_MS
  }
  for (const host of fleet.hosts) {
    record(`SIGTERM for ${host.name}`)
    await fleet.stop(host)
    fleet.start(host)
    await fleet.waitUntilReady(host)
    record(`${host.name} is ready again`)
    await sleep(2000)
  }
  store.delayWrite = () => undefined
  record(`${lostAnswers} of ${store.writes - writesBefore} writes got no answer`)
  // Longer than stable-ms and config-apply-ms together.
  await sleep(8000)
  for (const { meta, spec } of store.list('tanagerusher-fleet')) record(`store: ${meta.name} ${JSON.stringify(spec)}`)

  let lastId = 0
  const sentAt = new Map()
  const endsAt = performance.now() + LOAD_MS
  const codes = new Map()
  await Promise.all(fleet.hosts.flatMap(({ port }) => Array.from({ length: CLIENTS_PER_HOST }, async () => {
    const client = await Client.open(port, 'browse', KEY)
    while (performance.now() < endsAt && !client.isClosed) {
      const id = `q${++lastId}`
      sentAt.set(id, performance.now())
      const answer = await client.query(id, `READ a${lastId % 100}`)
      const code = answer.code ?? (answer.isLost ? 'no answer' : 'success')
      codes.set(code, (codes.get(code) ?? 0) + 1)
      await sleep(PAUSE_MS)
    }
    client.close()
  })))
  record(`answers: ${JSON.stringify(Object.fromEntries(codes))}`)
  const runs = group.databases.flatMap(({ runs }) => runs).filter(({ id }) => sentAt.has(id)).sort((left, right) => left.at - right.at)
  for (const { id, at, text } of runs) record(`ran ${id} ${text} at ${(at / 1000).toFixed(3)}, sent at ${(sentAt.get(id) / 1000).toFixed(3)}`)
  const counts = runs.map(({ at }) => runs.filter((other) => other.at >= at && other.at <= at + WINDOW_MS && sentAt.get(other.id) >= at).length)
  const highest = Math.max(...counts)
  record(`highest number of statements in ${WINDOW_MS} ms: ${highest}, allowed ${LIMIT.toFixed(0)}`)
  return highest > LIMIT ? [`${highest} statements of the tenant were sent and ran within ${WINDOW_MS} ms, ${LIMIT.toFixed(0)} allowed`] : []
})
