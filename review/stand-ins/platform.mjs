import { mkdtempSync, rmSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Database } from './database.mjs'
import { DatabaseGroup } from './database-group.mjs'
import { HostProcess } from './host-process.mjs'
import { PromotionEndpoint } from './promotion-endpoint.mjs'
import { Record } from './record.mjs'
import { Store } from './store.mjs'
import { WireClient } from './wire-client.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
/** Ports are the same on all machines, as in the settings that the pages show. Each machine has a loopback address of its own. */
const PORTS = { front: 8465, ready: 8460, control: 8462, internal: 7560, store: 8466, database: 8080, metrics: 9464 }
const START_TIMEOUT_MS = 20_000
/** A new connection of a client takes 1 ms one way; readiness is asked once a second. */
const POLL_MS = 100

/** The users' platform with stand-ins for store, promotion endpoint and databases, and hosts in separate processes. All on loopback addresses. */
export class Platform {
  record = Record.create()
  hosts = []
  groups = new Map()
  store
  #promotion
  #network
  #machines = 0
  #folder = mkdtempSync(join(tmpdir(), 'tanagerusher-review-'))
  #site
  #clients = []
  #balancer
  #outOfRotation = new Set()

  constructor (site, network) {
    this.#site = site
    this.#network = network
  }

  /** `site` has the fields `zones` and `bounds` of a process's settings, and the limits of its databases. */
  static async open (site) {
    const platform = new Platform(site, await findFreeNetwork())
    const { record, groups } = platform
    platform.store = await Store.open({ address: platform.#assignAddress(), port: PORTS.store, record })
    platform.storeAddress = `${platform.#network}.${platform.#machines}:${PORTS.store}`
    platform.#promotion = await PromotionEndpoint.open({ address: platform.#assignAddress(), port: PORTS.store, groups, record })
    platform.promotionAddress = `${platform.#network}.${platform.#machines}:${PORTS.store}`
    return platform
  }

  get folder () { return this.#folder }

  createGroup (options) {
    const group = DatabaseGroup.create({ ...options, store: this.store, record: this.record })
    this.groups.set(group.name, group)
    return group
  }

  async addDatabase (group, { id, zone, lagMs, workMs }) {
    const database = await Database.open({ limits: this.#site.databases, id, zone, group, lagMs, workMs, address: this.#assignAddress(), port: PORTS.database })
    group.add(database)
    return database
  }

  /** Writes a config as the operator does and returns the time of its confirmation. */
  configure (config) {
    this.store.put('config', 'main', config)
    return this.record.readTime()
  }

  startHost (name, zone) {
    const ip = this.#assignAddress()
    const { zones, bounds } = this.#site
    const fields = {
      node: name,
      ip,
      zone,
      region: zones[zone],
      zones,
      bounds,
      'internal-ports': [PORTS.internal, PORTS.internal + 15],
      listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}` },
      limits: { 'link-mbps': 1000 },
      platform: { address: this.storeAddress },
      cloud: { address: this.promotionAddress }
    }
    const host = HostProcess.create({ root: ROOT, folder: this.#folder, fields, record: this.record })
    this.hosts.push(host)
    host.start()
    return host
  }

  /** Resolves when all hosts answer the readiness check with 200. */
  async waitUntilReady () {
    const deadline = performance.now() + START_TIMEOUT_MS
    for (const { fields } of this.hosts) {
      while (!await isReady(fields.ip)) {
        if (performance.now() > deadline) throw new Error(`${fields.node} does not become ready`)
        await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      }
    }
  }

  /** Asks the hosts for their readiness once a second. Two misses in a row take a host out of rotation. */
  startBalancer () {
    const misses = new Map()
    this.#balancer = setInterval(() => {
      for (const host of this.hosts) {
        void isReady(host.fields.ip).then((ready) => {
          misses.set(host, ready ? 0 : (misses.get(host) ?? 0) + 1)
          if (misses.get(host) < 2) this.#outOfRotation.delete(host)
          else this.#outOfRotation.add(host)
        })
      }
    }, 1000)
  }

  /** Chooses a host for a new connection. */
  chooseHost () {
    const inRotation = this.hosts.filter((host) => !this.#outOfRotation.has(host))
    const usable = inRotation.length === 0 ? this.hosts : inRotation
    return usable[Math.floor(Math.random() * usable.length)]
  }

  async connect (host, { database, key, name }) {
    const client = await WireClient.open({ address: host.fields.ip, port: PORTS.front, database, key, name, record: this.record })
    this.#clients.push(client)
    return client
  }

  close () {
    clearInterval(this.#balancer)
    for (const host of this.hosts) host.close()
    for (const client of this.#clients) client.close()
    for (const group of this.groups.values()) for (const database of group.databases) database.close()
    this.store.close()
    this.#promotion.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else console.log(`logs of the hosts: ${this.#folder}`)
  }

  #assignAddress () {
    return `${this.#network}.${++this.#machines}`
  }
}

/** Chooses a loopback network in which nobody listens on the ports that the machines use. */
async function findFreeNetwork () {
  for (let tries = 0; tries < 50; tries++) {
    const network = `127.${20 + (process.pid + tries * 7) % 200}.${1 + Math.floor(Math.random() * 250)}`
    const results = await Promise.all([1, 2, 3].flatMap((machine) => Object.values(PORTS).map(async (port) => await canListen(`${network}.${machine}`, port))))
    if (results.every(Boolean)) return network
  }
  throw new Error('no free loopback network')
}

async function canListen (address, port) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, address, () => { server.close(() => { resolve(true) }) })
  })
}

async function isReady (address) {
  return await new Promise((resolve) => {
    const call = request({ host: address, port: PORTS.ready, path: '/readiness', timeout: 1000 }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    call.on('timeout', () => { call.destroy() })
    call.on('error', () => { resolve(false) })
    call.end()
  })
}
