import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Balancer } from './balancer.mjs'
import { Client } from './client.mjs'
import { Group } from './group.mjs'
import { Host } from './host.mjs'
import { Links, StoreLink } from './links.mjs'
import { Promotion } from './promotion.mjs'
import { Store } from './store.mjs'

const KEY = 'u6wsjnbanfqasnmgkcuy'
const IN_ZONE_MS = 0.2
const CROSS_ZONE_MS = 0.5
const CROSS_REGION_MS = 20

export const delay = async (ms) => { await new Promise((resolve) => { setTimeout(resolve, ms) }) }

/** A small deployment: hosts as separate processes, and stand-ins for the platform, the databases and the clients in this process. */
export class Fleet {
  clients = []
  #version = 7

  /** `services` are names; each has databases in `databaseZones`, the first of which is the primary. */
  static async open ({ hostZones, regions, databaseZones, services, bounds, promoteMs, syncReplicas, maxConnections }) {
    const fleet = new Fleet()
    Object.assign(fleet, { services, maxConnections, syncReplicas, directory: mkdtempSync(join(tmpdir(), 'review-3-')) })
    fleet.store = await Store.open()
    const linkMs = (from, to) => from === to ? IN_ZONE_MS : regions[from] === regions[to] ? CROSS_ZONE_MS : CROSS_REGION_MS
    fleet.groups = []
    for (const name of services) fleet.groups.push(await Group.open({ name, store: fleet.store, zones: databaseZones, linkMs, syncReplicas, promoteMs, maxConnections }))
    fleet.promotion = await Promotion.open(fleet.groups)
    fleet.configure()
    fleet.hosts = []
    fleet.storeLinks = []
    for (const [index, zone] of hostZones.entries()) {
      fleet.storeLinks.push(await StoreLink.open(fleet.store.address))
      fleet.hosts.push(await Host.create({ name: `front-${zone}-${index + 1}`, ip: `127.0.0.${11 + index}`, zone, regions, bounds, store: fleet.storeLinks[index], promotion: fleet.promotion, directory: fleet.directory }))
    }
    fleet.links = await Links.open(fleet.hosts)
    // The hosts reach each other through the links, so the store gives out the ports of the links.
    fleet.store.translate = (kind, spec) => kind === 'tanagerusher-fleet' && spec.port !== undefined ? { ...spec, port: fleet.links.ports.get(spec.host) } : spec
    fleet.balancer = Balancer.create(fleet.hosts)
    return fleet
  }

  start () {
    // A script that is stopped leaves no host behind.
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { void this.close().then(() => process.exit(2)) })
    for (const host of this.hosts) host.start()
  }

  async waitUntilReady (limitMs) {
    const deadline = Date.now() + limitMs
    while (this.balancer.ready.length < this.hosts.length) {
      if (Date.now() > deadline) return false
      await delay(100)
    }
    return true
  }

  configure () {
    this.store.put('config', 'main', {
      version: this.#version++,
      routes: this.services.map((service) => ({
        name: `r-${service}`, host: `db-${service}`, 'path-prefix': '/', type: 'primary', 'timeout-ms': 800, 'target-latency-ms': 600, priority: 1, service, attempts: 2, public: false
      })),
      services: this.services.map((name) => ({ name, 'health-path': '/health', 'max-conns': this.maxConnections, protocol: 'h1', tls: false, 'sync-replicas': this.syncReplicas })),
      limits: { 'max-header-bytes': 16384, 'max-body-bytes': 262144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000, 'tx-idle-ms': 3000 },
      tenants: [{ name: 'nypu920', 'api-keys': [KEY], priority: 1, 'rate-per-s': 2000, burst: 2000 }]
    })
  }

  /** Adds a client whose sessions go to the hosts that `prefers` accepts. */
  addClient ({ service, prefers, intervalMs, createText, limitMs = 10_000 }) {
    const client = Client.create({ database: `db-${service}`, key: KEY, intervalMs, limitMs, createText, chooseTarget: () => this.balancer.choose(prefers) })
    this.clients.push(client)
    void client.run()
    return client
  }

  /** Cuts a host off from the other hosts and from the store. It still reaches clients and databases. */
  isolate (host) {
    this.links.cutOff(host.name)
    this.storeLinks[this.hosts.indexOf(host)].cut()
  }

  heal () {
    this.links.heal()
    for (const link of this.storeLinks) link.heal()
  }

  async close () {
    this.balancer?.close()
    for (const client of this.clients) client.close()
    await Promise.all((this.hosts ?? []).map(async (host) => { await host.end() }))
    this.links?.close()
    for (const link of this.storeLinks ?? []) link.close()
    this.promotion?.close()
    for (const group of this.groups ?? []) group.close()
    this.store?.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.directory, { recursive: true, force: true })
    else console.log(`logs: ${this.directory}`)
  }
}
