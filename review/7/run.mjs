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
const MODES = ['strict', 'fast', 'plain']
/** The pages allow 0.14 of the databases, 0.45 of their requests and 6.5 s. */
const SHED_FRACTION = 0.4
const SHED_MS = 6000
const SESSIONS = 12
const PAUSE_MS = 60

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
    routes: [{ name: 'r-1', host: 'gate', type: 'primary', 'timeout-ms': 800, 'target-latency-ms': 600, priority: 1, service: group.name, public: false }],
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
  const succeeded = []
  const refused = []
  let lastSession = 0
  let lastItem = 0
  // Each session sets a value, prepares a statement and writes with it until it gets a failure.
  const sessions = Array.from({ length: SESSIONS }, async (_, index) => {
    while (!load.isOver) {
      const name = `session ${++lastSession}`
      const mode = MODES[lastSession % MODES.length]
      const client = await Client.open(fleet.hosts[index % fleet.hosts.length].port, 'gate', KEY)
      const set = await query(client, name, `SET mode ${mode}`)
      const prepared = await query(client, name, 'PREPARE pay WRITE q2c')
      let answer = prepared
      while (!load.isOver && set.proof !== undefined && answer.state === 'I') {
        answer = await query(client, name, `EXECUTE pay item${++lastItem} paid`)
        if (answer.proof !== undefined) succeeded.push({ name, mode, id: answer.id })
        if (answer.code === 'NOSTMT') refused.push({ name, id: answer.id })
        await sleep(PAUSE_MS)
        if (answer.proof === undefined) break
      }
      client.close()
    }
  })
  await sleep(1000)
  const { primary } = group
  if (hasTrouble) {
    const random = new SeededRandom(Number(process.env.SEED ?? 1))
    record(`${primary.id} sheds ${SHED_FRACTION} of its requests`)
    primary.isShed = () => random.next() < SHED_FRACTION
  }
  await sleep(SHED_MS)
  primary.isShed = () => false
  record(`${primary.id} works well again`)
  await sleep(1000)
  load.isOver = true
  await Promise.all(sessions)
  const runs = new Map(group.databases.flatMap(({ runs }) => runs).map((run) => [run.id, run]))
  return [
    ...succeeded.filter(({ id, mode }) => runs.get(id)?.values?.mode !== mode).map(({ name, mode, id }) => `${name}: "SET mode ${mode}" was acknowledged, then ${id} ran with the values ${JSON.stringify(runs.get(id)?.values)} and got success`),
    ...refused.map(({ name, id }) => `${name}: "PREPARE pay" was acknowledged, then ${id} got NOSTMT`)
  ]
})
