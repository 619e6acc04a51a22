import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { delay, Fleet } from '../stand-ins-3/fleet.mjs'

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url))
const WITH_TROUBLE = process.env.TROUBLE !== '0'
const MAXIMUM_ROUNDS = 10
const SERVICES = ['huvo11a', 'kafi81c', 'wuno96b']
const REGIONS = { 'tartu-a': 'tartu', 'tartu-b': 'tartu', 'tallinn-a': 'tallinn' }
const BOUNDS = { 'grace-s': 6, 'revoke-ms': 5000, 'quota-slack': 20, fencing: true }
const TIME_LIMIT_MS = 110_000

const exitCodes = { held: 0, broken: 1, notRun: 2 }

async function run () {
  writeFileSync(RECORD, `trouble: ${WITH_TROUBLE}\n`)
  const deadline = Date.now() + TIME_LIMIT_MS
  let handOvers = 0
  for (let round = 1; round <= MAXIMUM_ROUNDS && Date.now() < deadline - 15_000; round++) {
    const { lost, promotions } = await runRound(round)
    handOvers += promotions
    if (lost > 0) return exitCodes.broken
  }
  note(`hand-overs: ${handOvers}, acknowledged commits that were lost: 0`)
  return handOvers === 0 ? exitCodes.notRun : exitCodes.held
}

/** One fleet, in which the primaries of three services leave as planned while one host is cut off from the other hosts. */
async function runRound (round) {
  const fleet = await Fleet.open({
    hostZones: ['tartu-a', 'tartu-b', 'tallinn-a', 'tartu-a'], regions: REGIONS, databaseZones: ['tartu-a', 'tallinn-a', 'tartu-b'], services: SERVICES, bounds: BOUNDS, promoteMs: 1000, syncReplicas: 1, maxConnections: 23
  })
  try {
    fleet.start()
    if (!await fleet.waitUntilReady(10_000)) {
      note(`round ${round}: the hosts were not ready`)
      return { lost: 0, promotions: 0 }
    }
    const [separated] = fleet.hosts
    const clients = SERVICES.map((service) => ({
      service,
      members: [separated.name, undefined].flatMap((name) => [1, 2, 3].map(() => fleet.addClient({
        service, prefers: (host) => (host.name === separated.name) === (name !== undefined), intervalMs: 180, createText: () => `WRITE ${Math.floor(Math.random() * 2000).toString(16)} ${Math.random().toString(36).slice(2)}`
      })))
    }))
    await delay(800)
    if (WITH_TROUBLE) fleet.links.cutOff(separated.name)
    note(`round ${round}: ${WITH_TROUBLE ? `${separated.name} is cut off from the other hosts` : 'no host is cut off'}`)
    await delay(1500)
    for (const group of fleet.groups) group.primary.startDraining()
    note(`round ${round}: the primaries are draining`)
    await delay(3500)
    fleet.links.heal()
    for (const { members } of clients) for (const client of members) client.close()
    await delay(300)
    let lost = 0
    for (const group of fleet.groups) lost += checkGroup(round, group, clients.find(({ service }) => service === group.name).members, fleet)
    return { lost, promotions: fleet.groups.reduce((sum, { promotions }) => sum + promotions.length, 0) }
  } finally {
    await fleet.close()
  }
}

/** Records what was sent and answered, and returns how many acknowledged commits the promoted database lacked. */
function checkGroup (round, group, clients, fleet) {
  const operations = clients.flatMap(({ operations: sent }) => sent)
  const successes = new Map(operations.filter(({ result }) => result.startsWith('DONE')).map((operation) => [operation.id, operation]))
  for (const { id, text, host, sentAt, answeredAt, result } of operations) note(`round ${round} ${group.name} sent ${sentAt} to ${host} QUERY ${id} ${text}; answered ${answeredAt ?? '-'} ${result}`)
  for (const { id, at } of group.acknowledged) note(`round ${round} ${group.name} database acknowledged ${at} ${id}`)
  for (const { at, service, id, holder, fence, status } of fleet.promotion.calls) if (service === group.name) note(`round ${round} ${group.name} promotion call ${at} of ${id} by ${holder} with ${fence}: ${status}`)
  let lost = 0
  for (const { at, from, to, ids } of group.promotions) {
    const missing = group.acknowledged.filter((commit) => commit.at <= at && !ids.has(commit.id) && successes.has(commit.id))
    note(`round ${round} ${group.name} promoted ${at} ${to} in place of ${from}; acknowledged commits that it lacks: ${missing.length}`)
    for (const { id, at: acknowledgedAt } of missing) note(`round ${round} ${group.name} LOST ${id}: acknowledged ${acknowledgedAt}, client had ${successes.get(id).result} at ${successes.get(id).answeredAt}, not in the log of ${to}`)
    lost += missing.length
  }
  return lost
}

function note (line) {
  appendFileSync(RECORD, `${line}\n`)
  if (!line.includes(' sent ') && !line.includes('database acknowledged')) console.log(line)
}

run().then((code) => {
  note(`exit: ${code}`)
  process.exit(code)
}, (error) => {
  note(`could not run: ${error.stack}`)
  process.exit(exitCodes.notRun)
})
