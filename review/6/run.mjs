import { fileURLToPath } from 'node:url'
import { Client } from '../stand-ins-2/client.mjs'
import { Fleet, sleep } from '../stand-ins-2/fleet.mjs'
import { Group } from '../stand-ins-2/group.mjs'
import { Promotion } from '../stand-ins-2/promotion.mjs'
import { runCase } from '../stand-ins-2/run-case.mjs'
import { SeededRandom } from '../stand-ins-2/seeded-random.mjs'
import { Store } from '../stand-ins-2/store.mjs'

const ZONES = ['tartu-a', 'tallinn-a', 'parnu-a']
const SERVICES = ['dele69a', 'xano55b', 'gowu98c']
const KEY = 'u6wsjnbanfqasnmgkcuy'
/** The pages allow 0.14 of the databases, 0.45 of their requests and 6.5 s. */
const SHED_FRACTION = 0.4
const SHED_MS = 6000
const WRITERS = 4
const WRITE_PAUSE_MS = 600
const READ_PAUSE_MS = 100

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ hasTrouble, record, resources }) => {
  const store = await Store.open()
  resources.push(store)
  const groups = []
  for (const name of SERVICES) {
    const group = await Group.open({ name, zones: ZONES, store, slots: 3, maxConnections: 49, handshakeMs: 12, lagMs: 60 })
    groups.push(group)
    resources.push(group)
  }
  const [group] = groups
  const promotion = await Promotion.open({ groups, record })
  resources.push(promotion)
  store.put('config', 'main', {
    version: 7,
    routes: [
      { name: 'r-1', host: 'gate', type: 'primary', 'timeout-ms': 800, 'target-latency-ms': 600, priority: 1, service: group.name, public: false },
      { name: 'r-2', host: 'clerk', type: 'bounded_staleness', 'timeout-ms': 2000, 'target-latency-ms': 1000, priority: 2, service: group.name, 'max-staleness-ms': 1500, public: false }
    ],
    services: SERVICES.map((name) => ({ name, 'max-conns': 49, 'sync-replicas': 0 })),
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'nypu920', 'api-keys': [KEY], 'rate-per-s': 500, burst: 500 }]
  })
  const fleet = await Fleet.open({ zones: [...ZONES, ...ZONES], storeAddress: store.address, promotionAddress: promotion.address, record })
  resources.push(fleet)
  await fleet.startAll()
  await sleep(2000)

  let lastId = 0
  const query = async (client, name, text) => {
    const id = `q${++lastId}`
    const answer = await client.query(id, text)
    record(`${name} ${id} ${text} -> ${answer.isLost ? 'no answer' : answer.proof ?? `${answer.code} ${answer.text}`} ${answer.rows.join('|')}`)
    return { id, ...answer }
  }
  const load = { isOver: false }
  const acknowledged = []
  // Each session repeats single statements and is opened again after a failure.
  const run = async (name, host, route, pauseMs, buildText, handle) => {
    while (!load.isOver) {
      const client = await Client.open(host.port, route, KEY)
      let answer = client.started
      while (!load.isOver && answer.state === 'I') {
        const text = buildText()
        answer = await query(client, name, text)
        if (answer.proof !== undefined) handle(answer, text)
        await sleep(pauseMs)
      }
      client.close()
    }
  }
  let lastItem = 0
  const sessions = [
    ...Array.from({ length: WRITERS }, async (_, index) => {
      await run(`writer ${index}`, fleet.hosts[index + 1], 'gate', WRITE_PAUSE_MS, () => `WRITE item${++lastItem} paid${lastItem}`, ({ id }, text) => { acknowledged.push({ id, text }) })
    }),
    ...fleet.hosts.map(async (host, index) => { await run(`reader ${index}`, host, 'clerk', READ_PAUSE_MS, () => `READ item${lastItem}`, () => {}) })
  ]
  await sleep(1000)
  const { primary } = group
  // The hosts of the primary's zone, one of which owns the connections to it, are restarted in turn.
  for (const host of fleet.hosts.filter(({ zone }) => zone === primary.zone)) {
    record(`SIGTERM for ${host.name}`)
    await fleet.stop(host)
    fleet.start(host)
    await fleet.waitUntilReady(host)
    record(`${host.name} is ready again`)
    await sleep(2000)
  }
  await sleep(3000)
  if (hasTrouble) {
    const random = new SeededRandom(Number(process.env.SEED ?? 1))
    record(`${primary.id} sheds ${SHED_FRACTION} of its requests`)
    primary.isShed = () => random.next() < SHED_FRACTION
  }
  await sleep(SHED_MS)
  primary.isShed = () => false
  record(`${primary.id} works well again`)
  await sleep(3000)
  load.isOver = true
  await Promise.all(sessions)
  await sleep(1000)

  const violations = []
  const ids = new Set(group.primary.log.map(({ id }) => id))
  record(`promotions: ${group.primary === primary ? 'none' : group.primary.id}; ${acknowledged.length} writes were acknowledged`)
  const client = await Client.open(fleet.hosts[0].port, 'gate', KEY)
  for (const { id, text } of acknowledged) {
    if (ids.has(id) || group.primary !== primary) continue
    const [, item] = text.split(' ')
    const { rows, proof } = await query(client, 'check', `READ ${item}`)
    violations.push(`${id} "${text}" was acknowledged, it is in no log, and a later READ on the primary route got "${rows.join('|')}" (${proof === undefined ? 'refused' : 'success'})`)
  }
  return violations
})
