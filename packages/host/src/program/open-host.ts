import { randomUUID } from 'node:crypto'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import { DatabaseEnforcedLeases } from '@tanagerusher/coordination/failover/database-enforced-leases'
import { ExpiringLeases } from '@tanagerusher/coordination/failover/expiring-leases'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { isStillPermitted } from '@tanagerusher/coordination/placement/is-still-permitted'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { PeerServer } from '@tanagerusher/transport/peer/peer-server'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { BudgetTask } from '../budget/budget-task.js'
import { CallerServer } from '../caller/caller-server.js'
import { OperationRunner } from '../caller/operation-runner.js'
import { PlacementExplainer } from '../caller/placement-explainer.js'
import { FailoverTask } from '../failover/failover-task.js'
import { ClaimHandler } from '../failover/claim-handler.js'
import { ClaimRestorer } from '../failover/claim-restorer.js'
import { PeerLinks } from '../peer/peer-links.js'
import { registerPeerMethods } from '../peer/register-peer-methods.js'
import type { HostSettings } from '../settings/host-settings.js'
import { CatalogueTask } from '../store/catalogue-task.js'
import { EvacuationsTask } from '../store/evacuations-task.js'
import { FleetTask } from '../store/fleet-task.js'
import { RelaySelector } from '../store/relay-selector.js'
import { StoreRetries } from '../store/store-retries.js'
import { UpstreamsTask } from '../store/upstreams-task.js'
import { PrimaryPositionTracker } from '../upstream/primary-position-tracker.js'
import { OwnerRegistry } from '../upstream/owner-registry.js'
import { WarmupTask } from '../upstream/warmup-task.js'
import { OwnerRouter } from '../upstream/owner-router.js'
import type { HostAddresses } from './host-addresses.js'
import { HostClock } from './host-clock.js'
import { HostMetrics } from './host-metrics.js'
import type { HostServices } from './host-services.js'
import { HostShutdown } from './host-shutdown.js'
import { MetricsEndpoint } from './metrics-endpoint.js'
import { ReadinessServer } from './readiness-server.js'

interface OpenOptions {
  settings: HostSettings
  adapter: PlatformAdapter
}

const HOUSEKEEPING_INTERVAL_MS = 500
const DEFAULT_MAX_CONNECTIONS = 10

interface RunningHost {
  /** Addresses on which the host listens; their ports differ from the settings where those are 0. */
  addresses: HostAddresses
  close: () => Promise<void>
  reload: (settings: HostSettings) => void
}

/** Creates and starts all tasks of a host. Callers are served as soon as the catalogue is loaded. */
export async function openHost ({ settings, adapter }: OpenOptions): Promise<RunningHost> {
  const { host, dataCentre, region } = settings
  const incarnation = randomUUID().slice(0, 8)
  const logger = createLogger({ label: 'host', level: settings.logLevel, stream: 'stdout', fields: { host, incarnation } })
  const { graceSeconds, keyFreshnessMs, rateSlack, linkMbps } = settings
  logger.info('starting', { dataCentre, region, graceSeconds, keyFreshnessMs, rateSlack, linkMbps })
  const hello: PeerHello = { host, incarnation, dataCentre, region, role: 'host', protocolVersions: [2] }
  const regions: ReadonlyMap<string, string> = new Map(Object.entries(settings.regions))
  // The record of the host contains its port. No connection is handled before the services below exist, which are created without a wait.
  const peers = await PeerServer.open({
    address: settings.address, port: settings.internalPorts[0], hello, handleConnection: (connection) => { registerPeerMethods(connection, services) }
  })
  const self: HostRecord = { host, incarnation, address: settings.address, port: peers.port, dataCentre, region, linkMbps: settings.linkMbps }
  const positionTrackers = new Map<string, PrimaryPositionTracker>()
  const clock = HostClock.create(() => {
    logger.warn('host was suspended or its clock was set: confirmations from before are discarded')
    catalogue.invalidateConfirmation()
    for (const watcher of services.watchers) watcher.invalidateConfirmation()
    evacuations?.handleSuspension()
    for (const tracker of positionTrackers.values()) tracker.clear()
    leases.invalidateConfirmation(clock.readTime())
    relays.refresh()
  })
  const leases: PrimaryLeases = settings.promotionStopsPrimary ? DatabaseEnforcedLeases.create() : ExpiringLeases.create({ limitMs: settings.keyFreshnessMs * LEASE_LIMIT_FRACTION })
  const metrics = HostMetrics.create()
  const leaders = LeaderView.create({ isAppointmentBinding: leases.limitMs !== undefined })
  const links = PeerLinks.create({
    hello,
    clock,
    logger,
    handlePingResponse: (link, { copies }, sentAt) => {
      for (const watcher of services.watchers) {
        const state = copies[watcher.kind]
        if (state !== undefined) watcher.handlePeerState(link, state, sentAt)
      }
    }
  })
  const relays = RelaySelector.create({ self: host, links })
  const retries = StoreRetries.create()
  const evacuations = settings.evacuateMs === undefined
    ? undefined
    : EvacuationsTask.create({
      store: adapter.store, kind: adapter.evacuationKind, evacuateMs: settings.evacuateMs, relays, retries, clock, logger, abortTransactions: (evacuated) => registry.abortTransactionsIn(evacuated), handleEnded: (restored) => { warmup.addAll(upstreams.directory.listAll(clock.readTime()).filter((record) => record.dataCentre === restored), 'end of the evacuation') }
    })
  const isEvacuated = ({ dataCentre }: UpstreamRecord): boolean => evacuations?.evacuations.isEvacuated(dataCentre) === true
  const listRecords = (group: string): UpstreamRecord[] => {
    const records = upstreams.directory.listGroup(group, clock.readTime())
    return evacuations === undefined || evacuations.evacuations.dataCentres.length === 0 ? records : records.map((record) => isEvacuated(record) ? { ...record, isLeaving: true } : record)
  }
  const findPositionTracker = (group: string): PrimaryPositionTracker => {
    const existing = positionTrackers.get(group) ?? PrimaryPositionTracker.create({ group, self: host, clock, leaders, links, registry, router, listRecords })
    positionTrackers.set(group, existing)
    return existing
  }
  const registry: OwnerRegistry = OwnerRegistry.create({
    connector: adapter.connector,
    clock,
    logger,
    leases,
    checkClocks: () => { clock.checkSuspension() },
    learnsCapacity: settings.learnCapacity,
    findConnectionLimit: (record) => router.findConnectionLimit(record, catalogue.replica.catalogue?.groups.get(record.group)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS),
    isPermitted: ({ dataCentre: location }, { entry, organisation, catalogueVersion }) => isStillPermitted({
      catalogue: catalogue.replica.catalogue, entry, organisation, decidedVersion: catalogueVersion, region: regions.get(location)
    }),
    events: {
      handleLeaderConfirmation: ({ group, id }, position, sentAt) => {
        if (leaders.recordConfirmation(group, id, position.term)) logger.info('leader known', { group, database: id, term: position.term })
        findPositionTracker(group).recordPosition(position, sentAt)
      },
      handleLeaderRefusal: (record) => { leaders.recordRefusal(record) },
      waitForReadPosition: async ({ group }, maxStalenessMs) => { await findPositionTracker(group).waitForPosition(maxStalenessMs, READ_POSITION_WAIT_MS) },
      findReadPosition: ({ group }, maxStalenessMs, floor) => findPositionTracker(group).findReadPosition(maxStalenessMs, floor),
      findClosure: (record) => evacuations?.evacuations.isClosed(record.dataCentre, clock.readTime()) === true ? evacuations.describe(record.dataCentre) : undefined,
      findWarmupRate: (record) => warmup.findRate(record),
      handleRecovery: (record) => { warmup.addAll([record], 'responds again') },
      handleEvacuationRefusal: () => { metrics.recordEvacuationRefusal() }
    }
  })
  const router = OwnerRouter.create({ self, regions, links, registry, clock })
  const warmup: WarmupTask = WarmupTask.create({ findCatalogue: () => catalogue.replica.catalogue, findShare: (record) => router.findWarmupShare(record), clock, logger })
  const budget = BudgetTask.create({ self: host, links, clock, logger, rateSlack: settings.rateSlack })
  const catalogue: CatalogueTask = CatalogueTask.create({
    store: adapter.store,
    location: adapter.catalogueLocation,
    decode: adapter.decodeCatalogue,
    relays,
    retries,
    keyFreshnessMs: settings.keyFreshnessMs,
    clock,
    logger,
    handleApplied: (applied) => { budget.updateCatalogue(applied) }
  })
  const upstreams: UpstreamsTask = UpstreamsTask.create({
    store: adapter.store,
    kind: adapter.upstreamKind,
    parseEntry: adapter.parseUpstreamEntry,
    decode: adapter.decodeUpstreamRecord,
    relays,
    retries,
    clock,
    logger,
    handleEntry: (record) => { warmup.handleEntry(record) },
    handleRemoved: (id) => { warmup.handleRemoved(id) }
  })
  const claimHandler = ClaimHandler.create({ leases, leaders, quiesce: async (group, timeLeftMs) => { await registry.quiesce(group, timeLeftMs) }, logger })
  const fleet = FleetTask.create({
    store: adapter.store,
    self,
    relays,
    retries,
    clock,
    logger,
    watchMs: leases.limitMs === undefined ? FLEET_WATCH_MS : LEASE_WATCH_MS,
    handleClaim: (group, claim, revision) => { claimHandler.apply(group, claim, revision) },
    handleConfirmed: (confirmedAt, requestedAt) => {
      if (!claimRestorer.hasAllClaims()) void claimRestorer.run()
      else if (!areLeasesReleased) leases.confirm(confirmedAt, requestedAt)
    },
    handleHosts: (records) => {
      router.updateHosts(records)
      relays.updateHosts(records)
      budget.updateHosts(records)
    }
  })
  const claimRestorer: ClaimRestorer = ClaimRestorer.create({ store: adapter.store, leases, relays, findStored: (name) => fleet.watcher.findObject(name), readCopyRevision: () => fleet.watcher.copyRevision, logger })
  const failover = FailoverTask.create({
    self, adapter, leaders, links, registry, router, listRecords, listDeparted: (group) => upstreams.directory.listDeparted(group, clock.readTime()), isEvacuated, isCold: (record) => warmup.isCold(record), findCatalogue: () => catalogue.replica.catalogue, leases, claimHandler, findRestoreTime: (revision) => fleet.watcher.findRestoreTime(revision), countSuspensions: () => clock.countSuspensions(), clock, logger
  })
  let isLeaving = false
  let areLeasesReleased = false
  const services: HostServices = {
    clock, checkClocks: () => { clock.checkSuspension() }, budget, catalogue, registry, upstreams, claimHandler, findPositionTracker, watchers: [catalogue.watcher, upstreams.watcher, fleet.watcher, ...evacuations === undefined ? [] : [evacuations.watcher]], evacuations: evacuations?.evacuations, unusableEntries: [upstreams.unusable, fleet.unusable], isLeaving: () => isLeaving
  }
  const random = xorshift128plus(Number.parseInt(incarnation, 16))
  const runner = OperationRunner.create({ router, leaders, listRecords, findCatalogue: () => catalogue.replica.catalogue, regions, isAvoided: (record) => isEvacuated(record) || warmup.isCold(record), clock, random, logger })
  const explainer = PlacementExplainer.create({ catalogue: catalogue.replica, leaders, listRecords, regions, router, runner, random, clock })
  const [callerIp, callerPort] = settings.callerAddress.split(':')
  const callers = await CallerServer.open({
    address: callerIp as string,
    port: Number(callerPort),
    incarnation,
    services: { catalogue: catalogue.replica, budget, runner, clock, logger, metrics, checkClocks: () => { clock.checkSuspension() }, findResponseDeadline: () => shutdown.responseDeadline, findTransactionDeadline: () => shutdown.transactionDeadline },
    createCodec: adapter.createCallerCodec
  })
  const [readinessIp, readinessPort] = settings.readinessAddress.split(':')
  const readiness = await ReadinessServer.open({
    address: readinessIp as string, port: Number(readinessPort), path: adapter.readinessPath, isReady: () => !isLeaving && catalogue.isConfirmed
  })
  const metricsEndpoint = settings.metricsPort === undefined
    ? undefined
    : await MetricsEndpoint.open({
      address: settings.address, port: settings.metricsPort, logger, explain: (query) => explainer.explain(query), render: async () => await (await import('./render-metrics.js')).renderMetrics(metrics, services)
    })
  router.updateHosts([self])
  relays.updateHosts([self])
  relays.start()
  void catalogue.start()
  void upstreams.start()
  void fleet.start()
  void evacuations?.start()
  budget.start()
  failover.start()
  const housekeeping = setInterval(() => {
    clock.checkSuspension()
    registry.update((id) => upstreams.directory.find(id, clock.readTime()))
  }, HOUSEKEEPING_INTERVAL_MS)
  const addresses: HostAddresses = {
    callerAddress: `${callerIp}:${callers.port}`,
    readinessAddress: `${readinessIp}:${readiness.port}`,
    peerAddress: `${settings.address}:${self.port}`,
    metricsAddress: metricsEndpoint === undefined ? undefined : `${settings.address}:${metricsEndpoint.port}`
  }
  logger.info('started', addresses)
  const closeAll = (): void => {
    clearInterval(housekeeping)
    failover.close()
    claimRestorer.close()
    budget.close()
    catalogue.close()
    upstreams.close()
    fleet.close()
    evacuations?.close()
    relays.close()
    callers.close()
    registry.close()
    links.close()
    peers.destroy()
    readiness.close()
    metricsEndpoint?.close()
    adapter.store.close()
    logger.info('stopped')
  }
  const shutdown: HostShutdown = HostShutdown.create({ graceMs: settings.graceSeconds * 1000, callers, registry, fleet, releaseLeases: () => { areLeasesReleased = true; leases.invalidateConfirmation(clock.readTime()) }, clock, logger })
  return {
    addresses,
    reload: (changed) => {
      const fields = Object.keys(changed).filter((field) => JSON.stringify(changed[field]) !== JSON.stringify(settings[field]))
      logger.level = changed.logLevel
      shutdown.updateGrace(changed.graceSeconds * 1000)
      logger.info('settings reloaded', { changed: fields, atNextStart: fields.filter((field) => !RELOADABLE_SETTINGS.includes(field)) })
    },
    close: async () => {
      isLeaving = true
      budget.stopAccruing()
      failover.close()
      await shutdown.run()
      closeAll()
    }
  }
}

/** Settings that take effect without a restart. */
const RELOADABLE_SETTINGS = ['logLevel', 'graceSeconds']
/**
 * Duration of a primary lease as a fraction of `keyFreshnessMs`. Longer leases survive longer store outages, but make each promotion
 * wait longer for a lost host.
 */
const LEASE_LIMIT_FRACTION = 0.6
/** A confirmation is up to two watches and a ping old, which must leave more than half of the lease duration. */
const LEASE_WATCH_MS = 600
/** Hosts join and leave rarely, and the loss of a host is detected by its link. */
const FLEET_WATCH_MS = 5000
/** A replica read waits this long for a first position of the primary before it falls back to the primary. */
const READ_POSITION_WAIT_MS = 150
