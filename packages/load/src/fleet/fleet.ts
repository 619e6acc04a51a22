import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import { ReservedPorts } from '@tanagerusher/runtime/ports/reserved-ports'
import pg from 'pg'
import type { EntryAddress } from '../generator/entry-address.js'
import type { SessionIdentity } from '../generator/session-identity.js'
import { callJson } from './call-json.js'
import type { FleetOptions } from './fleet-options.js'
import type { FleetPlan } from './fleet-plan.js'
import type { PlannedProcess } from './planned-process.js'
import { fleetPlanner } from './fleet-planner.js'
import { GroupFaults } from './group-faults.js'
import { ProcessSupervisor } from './process-supervisor.js'

const ADDRESS = '127.0.0.1'
const ROOT_CREDENTIAL = 'load-root-credential'
const READY_TIMEOUT_MS = 30_000
const READY_INTERVAL_MS = 50
const QUERY_TIMEOUT_MS = 5000
/** Token buckets of a new fleet start empty and fill within burst / rate, which is 0.5 s in both workloads. */
const BUCKET_FILL_MS = 1000

type HttpResponse = { status: number, body: unknown }

/** A running fleet of real processes on loopback: store, databases and hosts. `close` ends all of them. */
export class Fleet {
  readonly plan: FleetPlan
  /** Entries that have not been stopped or killed. Callers share this list. */
  readonly entries: EntryAddress[]
  readonly options: FleetOptions
  readonly #supervisor: ProcessSupervisor
  readonly #reserved: ReservedPorts
  readonly #faults = new Map<string, GroupFaults>()
  #isStarted = false
  readonly #generations = new Map<string, number>()

  private constructor (options: FleetOptions, plan: FleetPlan, supervisor: ProcessSupervisor, reserved: ReservedPorts) {
    this.options = options
    this.plan = plan
    this.#supervisor = supervisor
    this.#reserved = reserved
    this.entries = plan.hosts.map(({ name, entryPort }) => ({ host: name, address: ADDRESS, port: entryPort }))
    for (const { name } of plan.groups) this.#faults.set(name, GroupFaults.create())
  }

  /** Starts all processes and waits until every entry serves reads and writes. */
  static async start (options: FleetOptions): Promise<Fleet> {
    const supervisor = ProcessSupervisor.create()
    let reserved: ReservedPorts | undefined
    try {
      const rootCredentialFile = join(supervisor.directory, 'root-credential')
      writeFileSync(rootCredentialFile, ROOT_CREDENTIAL, { mode: 0o600 })
      reserved = await ReservedPorts.open({ count: fleetPlanner.countPorts(options) })
      const fleet = new Fleet(options, fleetPlanner.buildPlan({ options, ports: reserved.ports, rootCredentialFile }), supervisor, reserved)
      await reserved.handOver()
      await fleet.#startAll()
      return fleet
    } catch (error) {
      await supervisor.close()
      await reserved?.close()
      throw error
    }
  }

  async close (): Promise<void> {
    await this.#supervisor.close()
    await this.#reserved.close()
  }

  /** Kills a whole host (`h1`) or one of its processes (`h1-pool`) with SIGKILL. */
  kill (name: string): void {
    for (const process of this.#listProcesses(name)) this.#supervisor.kill(process)
    this.#removeEntry(name)
  }

  /** Shuts a host or one of its processes down gracefully. Returns the exit codes. */
  async stop (name: string): Promise<Array<number | null>> {
    this.#removeEntry(name)
    return await Promise.all(this.#listProcesses(name).reverse().map((process) => this.#supervisor.stop(process)))
  }

  async restart (name: string): Promise<void> {
    for (const process of this.#listProcesses(name)) {
      await this.#supervisor.waitForExit(process)
      this.#supervisor.restart(process)
    }
    const host = this.plan.hosts.find((candidate) => candidate.name === name || candidate.processes.some((process) => process.name === name))
    if (host === undefined || this.entries.some((entry) => entry.host === host.name)) return
    await this.#waitForEntry(host.entryPort)
    this.entries.push({ host: host.name, address: ADDRESS, port: host.entryPort })
  }

  pause (process: string): void { this.#supervisor.pause(process) }
  resume (process: string): void { this.#supervisor.resume(process) }
  findProcessId (process: string): number | undefined { return this.#supervisor.findProcessId(process) }
  readLog (process: string): string { return this.#supervisor.readLog(process) }

  /** Applies `change` to the faults of a database's group and sends the result to the stand-in of the group. */
  async applyFault (database: string, change: (faults: GroupFaults) => void): Promise<void> {
    const group = this.plan.groups.find(({ databases }) => databases.some(({ name }) => name === database))
    const faults = this.#faults.get(group?.name ?? '')
    if (group === undefined || faults === undefined) throw new Error(`no group has a database ${database}`)
    change(faults)
    await callJson(`${group.controlUrl}/faults`, { method: 'PUT', body: faults.build() })
  }

  async setStoreFaults (faults: object): Promise<void> {
    await callJson(`${this.plan.store.controlUrl}/faults`, { method: 'PUT', body: faults })
  }

  async readStatuses (group: string): Promise<DatabaseStatus[]> {
    const planned = this.plan.groups.find(({ name }) => name === group)
    const response = await callJson(`${planned?.controlUrl}/status`)
    return (response.body as { databases: DatabaseStatus[] }).databases
  }

  /** Returns the primary with the highest term, according to the statuses that the databases report. */
  async findPrimary (group: string): Promise<string> {
    const statuses = await this.readStatuses(group)
    const primaries = statuses.filter(({ role }) => role === 'primary').sort((left, right) => right.log.term - left.log.term)
    if (primaries[0] === undefined) throw new Error(`group ${group} has no primary`)
    return primaries[0].database
  }

  async findReplica (group: string): Promise<string> {
    const primary = await this.findPrimary(group)
    return (await this.readStatuses(group)).find(({ database }) => database !== primary)?.database as string
  }

  /** Returns the name of the database that a trace refers to by its name, by `primary:GROUP` or by `replica:GROUP`. */
  async resolveDatabase (target: string): Promise<string> {
    const [role, group] = target.split(':')
    if (group === undefined) return target
    return role === 'primary' ? await this.findPrimary(group) : await this.findReplica(group)
  }

  /** Records a reissued key. Sessions that are built later use it. */
  setKey (organisation: string, password: string, generation: number): void {
    this.plan.passwords[organisation] = password
    this.#generations.set(organisation, generation)
  }

  /** Returns the name under which histories list the organisation's current key. */
  readKeyName (organisation: string): string {
    return `${organisation}#${this.#generations.get(organisation) ?? 1}`
  }

  /** Builds the identity with which a session of an organisation and class logs in at present. The caller adds the name of the session. */
  buildIdentity (organisation: string, className: string): Omit<SessionIdentity, 'session'> {
    const index = this.options.workload.organisations.findIndex(({ name }) => name === organisation)
    const group = this.plan.groups[index % this.plan.groups.length]?.name ?? ''
    return { organisation, keyName: this.readKeyName(organisation), password: this.plan.passwords[organisation] ?? '', entry: `${organisation}-${className}`, group }
  }

  /** Calls the administration API of the first host that responds. */
  async callAdministration (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, headers: Record<string, string> = {}): Promise<HttpResponse> {
    const authorization = `Basic ${Buffer.from(`root:${ROOT_CREDENTIAL}`).toString('base64')}`
    let failure: unknown
    for (const { host } of this.entries) {
      const url = this.plan.hosts.find(({ name }) => name === host)?.administrationUrl
      try {
        return await callJson(`${url}${path}`, { method, body, headers: { authorization, ...headers } })
      } catch (error) {
        failure = error
      }
    }
    throw failure
  }

  /** Runs a query directly at a database, bypassing the proxy. */
  async queryDatabase (database: string, text: string): Promise<Array<Record<string, unknown>>> {
    const port = this.plan.groups.flatMap(({ databases }) => databases).find(({ name }) => name === database)?.port
    const client = new pg.Client({ host: ADDRESS, port, user: 'proxy', password: 'proxy', database: 'ledger', application_name: 'tanagerusher-control', query_timeout: QUERY_TIMEOUT_MS, connectionTimeoutMillis: QUERY_TIMEOUT_MS })
    client.on('error', () => {})
    await client.connect()
    try {
      return (await client.query(text)).rows
    } finally {
      await client.end().catch(() => {})
    }
  }

  async #startAll (): Promise<void> {
    this.#start(this.plan.store)
    for (const group of this.plan.groups) this.#start(group)
    for (const { processes } of this.plan.hosts) for (const process of processes) this.#start(process)
    await Promise.all(this.plan.hosts.map(({ entryPort }) => this.#waitForEntry(entryPort)))
    if (this.options.coldAdministration !== true) await this.#waitForAdministration()
    this.#isStarted = true
  }

  /** Calls each administration API once: the first call loads its framework, which stalls the control process. */
  async #waitForAdministration (): Promise<void> {
    const responses = await Promise.all(this.plan.hosts.map(async ({ administrationUrl }) => await callJson(`${administrationUrl}/v1/openapi.json`)))
    if (responses.some(({ status }) => status !== 200)) throw new Error('an administration API did not become ready')
    await new Promise((resolve) => { setTimeout(resolve, BUCKET_FILL_MS) })
  }

  #start ({ name, program, settings }: PlannedProcess): void {
    this.#supervisor.start(name, findProgram(program), settings)
  }

  async #waitForEntry (port: number): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS
    for (const { name: organisation } of this.options.workload.organisations.slice(0, this.options.groups)) {
      const entry = `${organisation}-${this.options.workload.classes[0]?.name}`
      for (let failure = await this.#findEntryFailure(port, organisation, entry); failure !== undefined; failure = await this.#findEntryFailure(port, organisation, entry)) {
        const ended = this.#isStarted ? [] : this.#listNames().filter((name) => !this.#supervisor.isRunning(name))
        if (performance.now() > deadline || ended.length > 0) throw new Error(`entry on port ${port} did not become ready: ${failure}\n${this.#formatLogs()}`)
        await new Promise((resolve) => { setTimeout(resolve, READY_INTERVAL_MS) })
      }
    }
  }

  /** Runs a read in a transaction, which is routed to the primary. Returns the error message when it fails. */
  async #findEntryFailure (port: number, user: string, database: string): Promise<string | undefined> {
    const client = new pg.Client({ host: ADDRESS, port, user, password: this.plan.passwords[user], database, connectionTimeoutMillis: 1000, query_timeout: 2000 })
    client.on('error', () => {})
    try {
      await client.connect()
      await client.query('BEGIN')
      await client.query('SELECT 1')
      await client.query('ROLLBACK')
      return undefined
    } catch (error) {
      return String((error as Error).message)
    } finally {
      await client.end().catch(() => {})
    }
  }

  #formatLogs (): string {
    return this.#listNames().map((name) => `--- ${name}${this.#supervisor.isRunning(name) ? '' : ' (ended)'}\n${this.#supervisor.readLog(name).slice(-600)}`).join('\n')
  }

  #listNames (): string[] {
    return [this.plan.store, ...this.plan.groups, ...this.plan.hosts.flatMap(({ processes }) => processes)].map(({ name }) => name)
  }

  #listProcesses (name: string): string[] {
    return this.plan.hosts.find((host) => host.name === name)?.processes.map((process) => process.name) ?? [name]
  }

  #removeEntry (name: string): void {
    const index = this.entries.findIndex(({ host }) => host === name || `${host}-entry` === name)
    if (index >= 0) this.entries.splice(index, 1)
  }
}

/** Returns the path of a program, which is in the package next to this one. The path is relative to this file in the build output. */
function findProgram (program: string): string {
  return fileURLToPath(new URL(`../../../../${program}/bin/tanagerusher-${program}.js`, import.meta.url))
}
