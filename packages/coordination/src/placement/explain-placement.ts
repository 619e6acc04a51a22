import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { chooseDatabase } from './choose-database.js'
import { decidePlacement } from './decide-placement.js'

type Options = Omit<Parameters<typeof chooseDatabase>[0], 'failed'>

interface ExplainedDatabase {
  database: string
  dataCentre: string
  region: string | undefined
  isPrimary: boolean
  isLeaving: boolean
  isBehind: boolean
  /** The database is cold, or its data centre is evacuated. */
  isAvoided?: boolean
  distanceMs: number
  waitMs: number
  /** Reason why the operation would not run there; undefined for the chosen database. */
  excludedBy: string | undefined
}

interface Explanation { choice: ReturnType<typeof chooseDatabase>, databases: ExplainedDatabase[] }

/** Lists the databases of a group with the inputs of the choice that `chooseDatabase` makes for an operation, and the reason against each other one. */
export function explainPlacement (options: Options): Explanation {
  const { records, leader, regions, estimateLoad } = options
  const choice = chooseDatabase({ ...options, failed: new Set() })
  return {
    choice,
    databases: records.map((record) => ({
      database: record.id,
      dataCentre: record.dataCentre,
      region: regions.get(record.dataCentre),
      isPrimary: record.id === leader?.id,
      isLeaving: record.isLeaving,
      ...estimateLoad(record),
      excludedBy: findReason(record, options, choice)
    }))
  }
}

/** Finds the reason by the same decisions, made with the database as the only candidate. */
function findReason (record: UpstreamRecord, options: Options, choice: Explanation['choice']): string | undefined {
  if (choice.type === 'chosen' && choice.record.id === record.id) return undefined
  const { records, leader } = options
  const placement = decidePlacement({ ...options, isReplicaAllowed: true, records: [record], leader: record.id === leader?.id ? leader : undefined })
  if (placement.type === 'refused') return 'outside the home regions'
  const others = new Set(records.map(({ id }) => id).filter((id) => id !== record.id))
  const alone = chooseDatabase({ ...options, failed: others })
  if (alone.type === 'chosen' && alone.record.id === record.id) return 'longer expected response time'
  const asReplica = chooseDatabase({ ...options, isReplicaAllowed: true, isReplicaCurrent: true, failed: others })
  return asReplica.type === 'chosen' ? 'not the primary' : 'leaving'
}
