import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const PORTS_PER_HOST = 4
const START_TIMEOUT_MS = 15_000

/** Host programs as separate processes, started with the command of the deploy file. */
export class Fleet {
  hosts = []
  /** Called when a process ended by itself. */
  handleEnd = () => {}
  #directory = mkdtempSync(join(tmpdir(), 'tanagerusher-review-'))
  #record

  constructor (record) {
    this.#record = record
  }

  /** `zones` has the zone of each host, in order; every zone is a region of its own. */
  static async open ({ zones, storeAddress, promotionAddress, settings = {}, record }) {
    const fleet = new Fleet(record)
    const ports = await findFreePorts(zones.length * PORTS_PER_HOST)
    const regions = Object.fromEntries(zones.map((zone) => [zone, zone.replace(/-a$/, '')]))
    for (const [index, zone] of zones.entries()) {
      const [front, ready, internal, metrics] = ports.slice(index * PORTS_PER_HOST)
      const name = `front-${zone}-${index + 1}`
      const file = join(fleet.#directory, `${name}.json`)
      writeFileSync(file, JSON.stringify({
        host: name,
        address: '127.0.0.1',
        dataCentre: zone,
        region: regions[zone],
        regions,
        callerAddress: `127.0.0.1:${front}`,
        readinessAddress: `127.0.0.1:${ready}`,
        internalPorts: [internal, internal],
        graceSeconds: 6,
        keyFreshnessMs: 5000,
        rateSlack: 20,
        promotionStopsPrimary: true,
        linkMbps: 1000,
        storeAddress,
        promotionAddress,
        metricsPort: metrics,
        ...settings
      }))
      fleet.hosts.push({ name, zone, file, port: front, readyPort: ready, log: createWriteStream(join(fleet.#directory, `${name}.log`)), child: undefined, isEnding: false, exits: 0 })
    }
    return fleet
  }

  get directory () { return this.#directory }

  start (host) {
    const [command, ...words] = readRunCommand()
    const child = spawn(command, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, TANAGERUSHER_NODE_FILE: host.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    host.child = child
    host.isEnding = false
    child.stdout.pipe(host.log, { end: false })
    child.stderr.pipe(host.log, { end: false })
    child.once('exit', (code, signal) => {
      host.child = undefined
      if (host.isEnding) return
      host.exits++
      this.#record(`process of ${host.name} ended by itself: code ${code}, signal ${signal}`)
      this.handleEnd(host)
    })
  }

  async startAll () {
    for (const host of this.hosts) this.start(host)
    await Promise.all(this.hosts.map(async (host) => { await this.waitUntilReady(host) }))
  }

  async waitUntilReady (host) {
    const deadline = performance.now() + START_TIMEOUT_MS
    while (performance.now() < deadline) {
      const status = await fetch(`http://127.0.0.1:${host.readyPort}/readiness`, { signal: AbortSignal.timeout(1000) }).then(({ status }) => status, () => 0)
      if (status === 200) return
      await sleep(50)
    }
    throw new Error(`${host.name} is not ready`)
  }

  /** Sends SIGTERM, and SIGKILL after the grace period. Resolves when the process has ended. */
  async stop (host, graceMs = 6000) {
    const { child } = host
    if (child === undefined) return
    host.isEnding = true
    const ended = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGTERM')
    const timer = setTimeout(() => { child.kill('SIGKILL') }, graceMs)
    await ended
    clearTimeout(timer)
  }

  async close () {
    await Promise.all(this.hosts.map(async (host) => {
      host.isEnding = true
      const { child } = host
      if (child === undefined) return
      const ended = new Promise((resolve) => { child.once('exit', resolve) })
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else console.log(`logs of the hosts: ${this.#directory}`)
  }
}

export async function sleep (ms) {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

function readRunCommand () {
  return /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
}

async function findFreePorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => await new Promise((resolve) => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => { resolve(server) })
  })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => { server.close(resolve) })))
  return ports
}
