import { Counter, Gauge, Registry } from 'prom-client'
import type { HostMetrics } from './host-metrics.js'
import type { HostServices } from './host-services.js'

/** Higher priorities share the service times of this one. */
const LAST_PRIORITY = 3

/** Builds the metrics text. This module is imported on the first scrape, since its library takes a tenth of the process's memory. */
export async function renderMetrics (metrics: HostMetrics, services: HostServices): Promise<{ contentType: string, text: string }> {
  const registry = new Registry()
  const registers = [registry]
  const statements = new Counter({ name: 'tanagerusher_statements_total', help: 'Single statements by outcome', labelNames: ['outcome'], registers })
  for (const [outcome, count] of metrics.statements) statements.inc({ outcome }, count)
  addLatency(registry, metrics)
  const { budget, catalogue, registry: owners, clock } = services
  new Counter({ name: 'tanagerusher_rate_refusals_total', help: 'Operations refused because their organisation had no token', registers }).inc(metrics.rateRefusals)
  new Gauge({ name: 'tanagerusher_budget_lent_tokens', help: 'Tokens that this host has lent as budget home and that were not deposited yet', registers }).set(budget.lentTokens)
  new Gauge({ name: 'tanagerusher_catalogue_version', help: 'Version of the catalogue in force', registers }).set(catalogue.replica.version)
  new Gauge({ name: 'tanagerusher_catalogue_proof_age_ms', help: 'Time since the catalogue was proven to be the newest', registers })
    .set(catalogue.replica.readConfirmationAgeMs(clock.readTime()))
  addCopies(registry, services)
  addUnusableEntries(registry, services)
  addEvacuations(registry, metrics, services)
  const work = new Gauge({ name: 'tanagerusher_database_work', help: 'Work at the databases whose connections this host holds', labelNames: ['database', 'state'], registers })
  for (const { record, load, openTransactions } of owners.all) {
    for (const [state, value] of Object.entries({ ...load, transactions: openTransactions })) work.set({ database: record.id, state }, value)
  }
  addCapacity(registry, services)
  return { contentType: registry.contentType, text: await registry.metrics() }
}

/** Adds what was learned about the databases whose connections this host holds. */
function addCapacity (registry: Registry, { registry: owners }: HostServices): void {
  const registers = [registry]
  const concurrency = new Gauge({ name: 'tanagerusher_learned_concurrency', help: 'Concurrent statements that a database was found to run well', labelNames: ['database'], registers })
  const service = new Gauge({ name: 'tanagerusher_service_ms', help: 'Expected time from sending a read to its response', labelNames: ['database', 'priority'], registers })
  for (const owner of owners.all) {
    concurrency.set({ database: owner.record.id }, owner.learnedConcurrency)
    for (let priority = 0; priority <= LAST_PRIORITY; priority++) {
      const { serviceMs } = owner.estimateService(priority)
      if (serviceMs !== undefined) service.set({ database: owner.record.id, priority }, serviceMs)
    }
  }
}

/** Adds the state of the copies of the store's objects, by kind. */
function addCopies (registry: Registry, { watchers, clock }: HostServices): void {
  const registers = [registry]
  const labelNames = ['kind']
  const era = new Gauge({ name: 'tanagerusher_store_era', help: 'Era of the store, which rises when it is restored from a copy', labelNames, registers })
  const revision = new Gauge({ name: 'tanagerusher_copy_revision', help: 'Revision of the store to which the copy corresponds', labelNames, registers })
  const age = new Gauge({ name: 'tanagerusher_copy_confirmation_age_ms', help: 'Time since the copy was confirmed to be current', labelNames, registers })
  const lists = new Counter({ name: 'tanagerusher_copy_lists_total', help: 'Lists of the store that were applied', labelNames, registers })
  const gaps = new Counter({ name: 'tanagerusher_watch_history_gaps_total', help: 'Watches that failed because the store lacked the history', labelNames, registers })
  for (const watcher of watchers) {
    const { kind } = watcher
    era.set({ kind }, watcher.era)
    revision.set({ kind }, watcher.revision)
    age.set({ kind }, watcher.readConfirmationAgeMs(clock.readTime()))
    lists.inc({ kind }, watcher.appliedLists)
    gaps.inc({ kind }, watcher.historyGaps)
  }
}

/** Adds the entries of the store that cannot be decoded, with the reasons. */
function addUnusableEntries (registry: Registry, { unusableEntries }: HostServices): void {
  const gauge = new Gauge({ name: 'tanagerusher_unusable_entries', help: 'Entries of the store that cannot be decoded and are left out', labelNames: ['kind', 'name', 'reason'], registers: [registry] })
  for (const { kind, all } of unusableEntries) for (const { name, reason } of all) gauge.set({ kind, name, reason }, 1)
}

/** Adds the evacuated data centres, where evacuations are followed. */
function addEvacuations (registry: Registry, { evacuationRefusals }: HostMetrics, { evacuations }: HostServices): void {
  if (evacuations === undefined) return
  const registers = [registry]
  new Gauge({ name: 'tanagerusher_evacuated_data_centres', help: 'Data centres that are evacuated', registers }).set(evacuations.dataCentres.length)
  new Counter({ name: 'tanagerusher_evacuation_refusals_total', help: 'Operations refused by the owner of a database because its data centre is evacuated; each attempt of an operation counts', registers })
    .inc(evacuationRefusals)
}

/** Adds the latency histogram in Prometheus format, with cumulative buckets. */
function addLatency (registry: Registry, { latency }: HostMetrics): void {
  const registers = [registry]
  const buckets = new Gauge({ name: 'tanagerusher_statement_ms_bucket', help: 'Single statements answered within a time', labelNames: ['le'], registers })
  let cumulative = 0
  latency.boundsMs.forEach((bound, index) => {
    cumulative += latency.counts[index] ?? 0
    buckets.set({ le: String(bound) }, cumulative)
  })
  buckets.set({ le: '+Inf' }, latency.count)
  new Gauge({ name: 'tanagerusher_statement_ms_sum', help: 'Sum of the times', registers }).set(latency.sumMs)
  new Gauge({ name: 'tanagerusher_statement_ms_count', help: 'Single statements', registers }).set(latency.count)
}
