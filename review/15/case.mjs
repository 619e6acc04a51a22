import { randomBytes } from 'node:crypto'
import { appendFileSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { Fleet } from '../stand-ins-3/fleet.mjs'

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url))
const WITH_TROUBLE = process.env.TROUBLE !== '0'
const REGIONS = { 'tartu-a': 'tartu', 'tallinn-a': 'tallinn', 'parnu-a': 'parnu' }
const BOUNDS = { 'grace-s': 6, 'revoke-ms': 5000, 'quota-slack': 20, fencing: true }
const TRANSACTIONS = 20
const ANSWER_LIMIT_MS = 5000

const exitCodes = { held: 0, broken: 1, notRun: 2 }

async function run () {
  writeFileSync(RECORD, `trouble: ${WITH_TROUBLE}\n`)
  const zones = Object.keys(REGIONS)
  const fleet = await Fleet.open({ hostZones: zones, regions: REGIONS, databaseZones: zones, services: ['huvo11a'], bounds: BOUNDS, promoteMs: 1000, syncReplicas: 0, maxConnections: 23 })
  try {
    fleet.start()
    if (!await fleet.waitUntilReady(10_000)) return exitCodes.notRun
    const [group] = fleet.groups
    const runs = new Map()
    group.handleRun = (database, id, text, values) => { runs.set(id, { database: database.id, text, values: Object.fromEntries(values) }) }
    let different = 0
    let completed = 0
    for (let index = 0; index < TRANSACTIONS; index++) {
      const { statements, acknowledged } = await runTransaction(fleet.hosts[index % fleet.hosts.length], `client-${index}`)
      if (statements.every(({ answer }) => answer?.startsWith('DONE'))) completed++
      for (const { id, text, answer, expected } of statements) {
        const found = runs.get(id)
        note(`QUERY ${id} ${text}: answered ${answer}${found === undefined ? '' : `; run by ${found.database} with values ${JSON.stringify(found.values)}, acknowledged before ${JSON.stringify(expected)}`}`)
        if (found === undefined || JSON.stringify(found.values) === JSON.stringify(expected)) continue
        different++
        note(`PINNED ${id} ${text}: the values differ`)
      }
      note(`session ended with ${JSON.stringify(acknowledged)}`)
    }
    note(`transactions completed: ${completed} of ${TRANSACTIONS}; statements that ran with other session values than those acknowledged: ${different}`)
    if (completed < TRANSACTIONS) return exitCodes.notRun
    return different > 0 ? exitCodes.broken : exitCodes.held
  } finally {
    await fleet.close()
  }
}

/** Runs one transaction in a new session, which sets a value before BEGIN and another one before COMMIT or, without trouble, before BEGIN too. */
async function runTransaction (host, value) {
  const first = `SET zone ${value}`
  const second = `SET mode ${value}`
  const texts = WITH_TROUBLE ? [first, 'BEGIN', `WRITE 1a4 ${value}`, second, 'COMMIT'] : [first, second, 'BEGIN', `WRITE 1a4 ${value}`, 'COMMIT']
  const socket = connect({ host: host.ip, port: host.front, noDelay: true })
  const read = createReader(socket)
  socket.write('START db-huvo11a u6wsjnbanfqasnmgkcuy\r\n')
  await read((line) => line.startsWith('READY') || line.startsWith('ERR'))
  const acknowledged = {}
  const statements = []
  for (const text of texts) {
    const id = randomBytes(8).toString('hex')
    const expected = { ...acknowledged }
    socket.write(`QUERY ${id} ${text}\r\n`)
    const lines = await read((line) => line.startsWith('READY'))
    const answer = lines.find((line) => line.startsWith('DONE') || line.startsWith('ERR'))
    const [word, name, setValue] = text.split(' ')
    if (word === 'SET' && answer?.startsWith('DONE')) acknowledged[name] = setValue
    statements.push({ id, text, answer, expected })
  }
  socket.end('QUIT\r\n')
  return { statements, acknowledged }
}

/** Returns a function that reads lines up to one that ends an answer. */
function createReader (socket) {
  const lines = []
  let remainder = ''
  let wake = () => {}
  socket.on('error', () => { socket.destroy() })
  socket.on('close', () => { wake() })
  socket.on('data', (bytes) => {
    const parts = (remainder + bytes.toString('latin1')).split('\r\n')
    remainder = parts.pop()
    lines.push(...parts)
    wake()
  })
  return async (isLast) => {
    const deadline = Date.now() + ANSWER_LIMIT_MS
    while (!lines.some(isLast) && !socket.destroyed && Date.now() < deadline) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, deadline - Date.now())
        wake = () => { clearTimeout(timer); resolve() }
      })
    }
    return lines.splice(0, lines.findIndex(isLast) + 1)
  }
}

function note (line) {
  appendFileSync(RECORD, `${line}\n`)
  if (!line.startsWith('QUERY') && !line.startsWith('session')) console.log(line)
}

run().then((code) => {
  note(`exit: ${code}`)
  process.exit(code)
}, (error) => {
  note(`could not run: ${error.stack}`)
  process.exit(exitCodes.notRun)
})
