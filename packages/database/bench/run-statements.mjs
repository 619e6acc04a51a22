// Measures statements per second of a running tanagerusher-database: node run-statements.mjs PORT [CONNECTIONS] [DEPTH] [SECONDS]
// Every kind of statement runs in turn; the figures of one run are to be compared with each other.
import { connect } from 'node:net'
import { serialize } from 'pg-protocol'

const [port, connections = '3', depth = '8', seconds = '3'] = process.argv.slice(2)
const run = `r${process.pid}`
let sequence = 0

const kinds = {
  status: () => serialize.query('SELECT * FROM platform_status()'),
  select: () => serialize.query(`SELECT id, amount FROM payment WHERE id = '${run}-${sequence++ % 100}'`),
  insert: () => serialize.query(`INSERT INTO payment (id, session, amount) VALUES ('${run}-i${sequence++}', 's${sequence % 100}', 5)`),
  extended: () => Buffer.concat([
    serialize.parse({ text: 'INSERT INTO payment (id, session, amount) VALUES ($1, $2, $3) RETURNING id' }),
    serialize.bind({ values: [`${run}-e${sequence++}`, `s${sequence % 100}`, '5'] }),
    serialize.describe({ type: 'P' }), serialize.execute({}), serialize.sync()
  ]),
  pool: () => Buffer.concat([kinds.extended(), kinds.status()])
}

class Client {
  constructor (build, readyPerUnit) {
    this.build = build
    this.readyPerUnit = readyPerUnit
    this.count = 0
    this.rest = Buffer.alloc(0)
    this.started = false
    this.socket = connect({ host: '127.0.0.1', port: Number(port) }, () => {
      this.socket.setNoDelay(true)
      this.socket.write(serialize.startup({ user: 'proxy', database: 'ledger' }))
    })
    this.socket.on('data', (bytes) => { this.receive(bytes) })
    this.socket.on('error', () => {})
  }

  receive (bytes) {
    const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes])
    let offset = 0
    let ready = 0
    while (offset + 5 <= all.length) {
      const end = offset + 1 + all.readUInt32BE(offset + 1)
      if (end > all.length) break
      if (all[offset] === 0x45) throw new Error(all.toString('latin1', offset, end))
      if (all[offset] === 0x5a) ready++
      offset = end
    }
    this.rest = all.subarray(offset)
    if (ready === 0) return
    if (!this.started) {
      this.started = true
      this.send(Number(depth))
    } else {
      this.ready = (this.ready ?? 0) + ready
      const units = Math.floor(this.ready / this.readyPerUnit)
      this.ready -= units * this.readyPerUnit
      this.count += units
      if (units > 0) this.send(units)
    }
  }

  send (units) {
    this.socket.write(Buffer.concat(Array.from({ length: units }, this.build)))
  }
}

for (const [name, build] of Object.entries(kinds)) {
  const clients = Array.from({ length: Number(connections) }, () => new Client(build, name === 'pool' ? 2 : 1))
  const count = () => clients.reduce((sum, client) => sum + client.count, 0)
  await new Promise((resolve) => { setTimeout(resolve, 500) })
  const [start, before] = [performance.now(), count()]
  await new Promise((resolve) => { setTimeout(resolve, Number(seconds) * 1000) })
  console.log(`${name}: ${Math.round((count() - before) / (performance.now() - start) * 1000)}/s`)
  for (const { socket } of clients) socket.destroy()
}
process.exit(0)
