import { createHash } from 'node:crypto'
import { buildCatalogue } from './build-catalogue.js'
import { buildTables } from './build-tables.js'
import type { FleetOptions } from './fleet-options.js'
import type { FleetPlan } from './fleet-plan.js'

const ADDRESS = '127.0.0.1'
const DATABASES_PER_GROUP = 3
const PORTS_PER_GROUP = 2 * DATABASES_PER_GROUP + 1
const PORTS_PER_HOST = 6
const STORE_PORTS = 2

interface BuildPlanOptions {
  options: FleetOptions
  ports: readonly number[]
  rootCredentialFile: string
}

/** Returns the number of ports that `buildPlan` needs. */
function countPorts ({ groups, hosts }: FleetOptions): number {
  return STORE_PORTS + groups * PORTS_PER_GROUP + hosts * PORTS_PER_HOST
}

/** Builds the settings of all processes of a fleet on the given loopback ports. */
function buildPlan ({ options, ports, rootCredentialFile }: BuildPlanOptions): FleetPlan {
  const remainingPorts = [...ports]
  const takePort = (): number => remainingPorts.shift() as number
  const [storePort, storeControlPort] = [takePort(), takePort()]
  const groups = options.workload.groups.slice(0, options.groups).map((name) => planGroup(name, options, takePort))
  const hosts = Array.from({ length: options.hosts }, (_, index) => ({ index, ports: Array.from({ length: PORTS_PER_HOST }, takePort) }))
  const controls = hosts.map(({ ports: [control] }) => ({ host: ADDRESS, port: control as number }))
  const storeUrl = `http://${ADDRESS}:${storePort}`
  const catalogue = buildCatalogue({ options, groups: Object.fromEntries(groups.map(({ name, members }) => [name, { databases: members }])) })
  return {
    store: {
      name: 'store',
      program: 'store',
      url: storeUrl,
      controlUrl: `http://${ADDRESS}:${storeControlPort}`,
      settings: { port: storePort, controlPort: storeControlPort, objects: catalogue.objects, hosts: hosts.map(({ index }) => ({ host: `h${index + 1}`, address: ADDRESS, port: controls[index]?.port })) }
    },
    groups: groups.map(({ members, ...group }) => ({ ...group, databases: members })),
    hosts: hosts.map(({ index, ports: hostPorts }) => planHost({ index, ports: hostPorts, options, controls, storeUrl, rootCredentialFile })),
    passwords: catalogue.passwords
  }
}

function planGroup (name: string, options: FleetOptions, takePort: () => number) {
  const { workload, serviceTimeMs = 1 } = options
  const controlPort = takePort()
  const locatedMembers = Array.from({ length: DATABASES_PER_GROUP }, (_, index) => ({
    name: `${name}-${index + 1}`, port: takePort(), replicationPort: takePort(), ...findLocation(options, index)
  }))
  const settings = {
    group: name,
    members: locatedMembers.map((member) => ({ ...member, address: ADDRESS })),
    slots: workload.slots,
    connections: workload.connections,
    connectionSetupMs: workload.connectMs,
    serviceTimeMs,
    network: { betweenDataCentresMs: workload.latencyMs.dataCentre, betweenRegionsMs: workload.latencyMs.region },
    tables: buildTables(workload),
    control: { port: controlPort }
  }
  const members = locatedMembers.map(({ replicationPort, ...member }) => ({ ...member, host: ADDRESS, slots: workload.slots, connections: workload.connections, leaving: false }))
  return { name, program: 'database', settings, members, controlUrl: `http://${ADDRESS}:${controlPort}` }
}

interface PlanHostOptions {
  index: number
  ports: number[]
  options: FleetOptions
  controls: Array<{ host: string, port: number }>
  storeUrl: string
  rootCredentialFile: string
}

function planHost ({ index, ports, options, controls, storeUrl, rootCredentialFile }: PlanHostOptions): FleetPlan['hosts'][number] {
  const [control, administration, pool, caller, peer, metrics] = ports as [number, number, number, number, number, number]
  const name = `h${index + 1}`
  const host = { host: name, ...findLocation(options, index), logLevel: 'info' }
  const controlsOwnFirst = [controls[index], ...controls.filter((_, other) => other !== index)]
  const secret = createHash('sha256').update(`session key ${options.seed}`).digest('hex')
  return {
    name,
    entryPort: caller,
    administrationUrl: `http://${ADDRESS}:${administration}`,
    metricsUrl: `http://${ADDRESS}:${metrics}/metrics`,
    processes: [
      { name: `${name}-control`, program: 'control', settings: { ...host, port: control, storeUrl, peers: controlsOwnFirst.slice(1), administration: { port: administration, rootCredentialFile } } },
      { name: `${name}-pool`, program: 'pool', settings: { ...host, port: pool, control: controlsOwnFirst } },
      { name: `${name}-entry`, program: 'entry', settings: { ...host, callerPort: caller, peerPort: peer, metricsPort: metrics, control: controlsOwnFirst, sessionKeys: [{ id: 'k1', secret }] } }
    ]
  }
}

function findLocation ({ workload, dataCentres = 2 }: FleetOptions, index: number): { dataCentre: string, region: string } {
  const region = workload.regions[0] as string
  return { region, dataCentre: `${region}-${(index % dataCentres) + 1}` }
}

/** Plans the processes of a test fleet. */
export const fleetPlanner = { buildPlan, countPorts }
