import { computePermittedRegions } from '@tanagerusher/coordination/placement/compute-permitted-regions'
import { explainPlacement } from '@tanagerusher/coordination/placement/explain-placement'
import type { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { OwnerRouter } from '../upstream/owner-router.js'
import type { ExplainQuery } from './explain-query.js'
import type { OperationRunner } from './operation-runner.js'

interface CreateOptions {
  catalogue: CatalogueReplica
  leaders: LeaderView
  listRecords: (group: string) => UpstreamRecord[]
  /** Region of each data centre. */
  regions: ReadonlyMap<string, string>
  router: OwnerRouter
  runner: OperationRunner
  /** Seeded generator for the choice between databases that are expected to be equally fast. */
  random: RandomGenerator
  clock: Clock
}

/** Explains where an operation of a caller of this host would go now, without sending it. */
export class PlacementExplainer {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PlacementExplainer {
    return new PlacementExplainer(options)
  }

  /** Assumes a session that has not written lately. Returns undefined when the catalogue lacks the database or the organisation. */
  explain ({ database, organisation, access }: ExplainQuery): Record<string, unknown> | undefined {
    const { catalogue: { catalogue, version }, leaders, listRecords, regions, router, runner, random, clock } = this.#options
    const entry = catalogue?.entries.get(database)
    const limits = organisation === undefined ? undefined : catalogue?.organisations.get(organisation)
    // Without the home regions of a misspelt organisation, the explanation would be wrong.
    if (entry === undefined || (organisation !== undefined && limits === undefined)) return undefined
    const homeRegions = { entry: entry.homeRegions, organisation: limits?.homeRegions ?? [] }
    const permittedRegions = computePermittedRegions(homeRegions.entry, homeRegions.organisation)
    const records = listRecords(entry.group)
    const { choice, databases } = explainPlacement({
      records,
      leader: leaders.findLeader(entry.group, records),
      isReplicaAllowed: access === 'read' && entry.consistency !== 'primary',
      isReplicaCurrent: true,
      permittedRegions,
      regions,
      estimateLoad: (record) => runner.estimateLoad(record, permittedRegions, entry.priority),
      random
    })
    return {
      database,
      organisation,
      access,
      group: entry.group,
      consistency: entry.consistency,
      catalogueVersion: version,
      confirmationAgeMs: Math.round(this.#options.catalogue.readConfirmationAgeMs(clock.readTime())),
      homeRegions,
      permittedRegions: permittedRegions === undefined ? null : [...permittedRegions],
      choice: choice.type === 'chosen' ? { type: 'chosen', database: choice.record.id } : choice,
      databases,
      hosts: choice.type === 'chosen' ? router.describeOwners(choice.record, permittedRegions) : []
    }
  }
}
