import { fileURLToPath } from 'node:url'
import { Client } from '../stand-ins-2/client.mjs'
import { Fleet, sleep } from '../stand-ins-2/fleet.mjs'
import { Group } from '../stand-ins-2/group.mjs'
import { Promotion } from '../stand-ins-2/promotion.mjs'
import { runCase } from '../stand-ins-2/run-case.mjs'
import { Store } from '../stand-ins-2/store.mjs'

const ZONES = ['braga-a', 'coimbra-a', 'faro-a']
const KEY = 'u6wsjnbanfqasnmgkcuy'
const TRANSACTIONS = 8
const READERS = 150
/** The pages allow 7 s. */
const MAXIMUM_DARK_MS = 2900
const DARK_AFTER_PROMOTION_MS = 200
const WRITE_PAUSE_MS = 40
const PREPARE = 'PREPARE stock READ q2c'
const SET = 'SET mode strict'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ hasTrouble, record, resources }) => {
  const store = await Store.open()
  resources.push(store)
  const group = await Group.open({ name: 'huvo11a', zones: ZONES, store })
  resources.push(group)
  const promotion = await Promotion.open({ groups: [group], record })
  resources.push(promotion)
  store.put('config', 'main', {
    version: 7,
    routes: [
      { name: 'r-1', host: 'orders', type: 'primary', 'timeout-ms': 1000, 'target-latency-ms': 400, priority: 1, service: group.name, public: false },
      { name: 'r-2', host: 'browse', type: 'bounded_staleness', 'timeout-ms': 3000, 'target-latency-ms': 1000, priority: 2, service: group.name, 'max-staleness-ms': 1500, public: false }
    ],
    services: [{ name: group.name, 'max-conns': 50, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [{ name: 'nypu920', 'api-keys': [KEY], 'rate-per-s': 500, burst: 500 }]
  })
  const fleet = await Fleet.open({ zones: [...ZONES, ...ZONES], storeAddress: store.address, promotionAddress: promotion.address, record })
  resources.push(fleet)
  await fleet.startAll()
  await sleep(2000)
  const old = group.primary
  const violations = []
  let lastId = 0
  const query = async (client, name, text) => {
    const id = `q${++lastId}`
    const answer = await client.query(id, text)
    record(`${name} ${id} ${text} -> ${answer.isLost ? 'no answer' : answer.proof ?? `${answer.code} ${answer.text}`} ${answer.rows.join('|')}`)
    return answer
  }

  const load = { isOver: false }
  const writers = fleet.hosts.map(async ({ port }, index) => {
    for (let count = 0; !load.isOver; count++) {
      const client = await Client.open(port, 'orders', KEY)
      let answer = client.started
      for (; !load.isOver && answer.state === 'I'; count++) {
        answer = await query(client, `writer ${index}`, `WRITE w${index} d${count}`)
        await sleep(WRITE_PAUSE_MS)
      }
      client.close()
    }
  })
  await sleep(300)

  // Transactions on the primary route, each open with a first read.
  const transactions = await Promise.all(Array.from({ length: TRANSACTIONS }, async (_, index) => {
    const name = `transaction ${index}`
    const client = await Client.open(fleet.hosts[index % fleet.hosts.length].port, 'orders', KEY)
    await query(client, name, PREPARE)
    await query(client, name, 'BEGIN')
    await query(client, name, `READ a${index}`)
    return { name, client }
  }))
  if (hasTrouble) {
    record(`${old.id}, the primary, goes dark`)
    group.darken(old)
  }
  const darkUntil = performance.now() + MAXIMUM_DARK_MS
  const isReplaced = () => hasTrouble && group.primary !== old
  while (performance.now() < darkUntil && !isReplaced()) await sleep(20)
  if (hasTrouble) await sleep(Math.min(DARK_AFTER_PROMOTION_MS, Math.max(0, darkUntil - performance.now())))
  if (hasTrouble) {
    record(`${old.id} answers again; the primary is ${group.primary.id}`)
    group.lighten(old)
  }
  await Promise.all(transactions.map(async ({ name, client }, index) => {
    if (index % 2 === 0) {
      await query(client, name, SET)
      await query(client, name, `READ a${index}`)
    } else await query(client, name, `EXECUTE stock a${index}`)
    await query(client, name, 'ROLLBACK')
    client.close()
  }))
  await sleep(500)
  load.isOver = true
  await Promise.all(writers)

  // Sessions of one operation each on the bounded_staleness route.
  for (let index = 0; index < READERS; index++) {
    const name = `reader ${index}`
    const client = await Client.open(fleet.hosts[index % fleet.hosts.length].port, 'browse', KEY)
    if (index < READERS / 2) {
      const set = await query(client, name, SET)
      await query(client, name, `READ a${index}`)
      const values = group.databases.flatMap(({ runs }) => runs).find(({ id }) => id === `q${lastId}`)?.values
      if (set.proof !== undefined && values !== undefined && values.mode !== 'strict') violations.push(`${name}: "${SET}" was acknowledged, then q${lastId} ran with the values ${JSON.stringify(values)}`)
    } else {
      const prepared = await query(client, name, PREPARE)
      const answer = await query(client, name, `EXECUTE stock a${index}`)
      if (prepared.proof !== undefined && answer.code === 'NOSTMT') violations.push(`${name}: "${PREPARE}" was acknowledged, then EXECUTE got NOSTMT ${answer.text}`)
    }
    client.close()
  }
  if (hasTrouble && group.primary === old) throw new Error('no other database was promoted')
  return violations
})
