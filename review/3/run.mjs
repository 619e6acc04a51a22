// A config takes the keys of two clients away while each is inside a transaction. It also drops the route of the second one.
import { fileURLToPath } from 'node:url'
import { delay } from '../stand-ins/delay.mjs'
import { runCase } from '../stand-ins/run-case.mjs'
import { turutasu } from '../stand-ins/turutasu.mjs'

const KEYS = { tartu: 'j8pjbvk9m68k7b2ex5wa', narva: 'u6wsjnbanfqasnmgkcuy', voru: 'q4hd0c1m7tzy9wkeb2sx' }
const REVOKE_MS = turutasu.bounds['revoke-ms']
/** Pause between two statements of a transaction, shorter than `tx-idle-ms`. */
const PAUSE_MS = 1500

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), site: turutasu, play })

function buildConfig (version, { hasKeys, hasSecondRoute }) {
  const buildRoute = (name, host) => ({ name, host, 'path-prefix': '/', type: 'primary', 'timeout-ms': 800, 'target-latency-ms': 600, priority: 1, service: 'toll', attempts: 2, public: false })
  const buildTenant = (name, hasKey) => ({ name, 'api-keys': hasKey ? [KEYS[name]] : [], 'rate-per-s': 91, burst: 91 })
  return {
    version,
    routes: [buildRoute('r-1', 'gate'), ...hasSecondRoute ? [buildRoute('r-2', 'market')] : []],
    services: [{ name: 'toll', 'max-conns': 23, 'sync-replicas': 0 }],
    limits: { 'tx-idle-ms': 3000 },
    tenants: [buildTenant('tartu', true), buildTenant('narva', hasKeys), buildTenant('voru', hasKeys)]
  }
}

async function play (platform, hasTrouble) {
  const group = platform.createGroup({ name: 'toll', syncReplicas: 0, promoteMs: 1000, networkMs: 20 })
  for (const zone of Object.keys(turutasu.zones)) await platform.addDatabase(group, { id: `i-${zone}`, zone, lagMs: 60, workMs: 6 })
  platform.configure(buildConfig(7, { hasKeys: true, hasSecondRoute: true }))
  const hosts = Object.keys(turutasu.zones).map((zone) => platform.startHost(`front-${zone}-1`, zone))
  await platform.waitUntilReady()
  await delay(2000)

  const sent = new Map()
  const runTransaction = async (name, database, key, texts) => {
    const client = await platform.connect(hosts[0], { database, key, name })
    for (const text of texts) {
      if (client.isClosed) return
      const response = await client.query(text)
      sent.set(response.id, { name, text, ...response })
      if (text !== 'BEGIN') await delay(PAUSE_MS)
    }
  }
  const transactions = [
    runTransaction('client-1', 'gate', KEYS.narva, ['BEGIN', 'WRITE stall-1 paid', 'SET market narva', 'PREPARE s1 READ q1', 'SET stall 1', 'SET paid yes', 'COMMIT']),
    runTransaction('client-2', 'market', KEYS.voru, ['BEGIN', 'WRITE stall-2 paid', 'READ stall-2', 'READ stall-2', 'READ stall-2', 'READ stall-2', 'READ stall-2', 'COMMIT'])
  ]
  await delay(PAUSE_MS / 2)
  const confirmedAt = hasTrouble ? platform.configure(buildConfig(11, { hasKeys: false, hasSecondRoute: false })) : Infinity
  await Promise.all(transactions)

  const first = [...sent.values()].filter(({ text }) => text.startsWith('WRITE'))
  if (first.length !== 2 || first.some(({ proof }) => proof === undefined)) throw new Error('the transactions did not begin')
  return group.databases.flatMap(({ id: database, runs }) => runs.flatMap(({ id, at }) => {
    const request = sent.get(id)
    if (request === undefined || request.sentAt <= confirmedAt + REVOKE_MS) return []
    const { name, text, sentAt, proof, code } = request
    return [`CONFIG: ${text} (${id}) of ${name}, sent ${(sentAt - confirmedAt).toFixed(0)} ms after the confirmation of the config without its key, ran on ${database} at ${at.toFixed(0)} ms and was answered with ${proof ?? code}`]
  }))
}
