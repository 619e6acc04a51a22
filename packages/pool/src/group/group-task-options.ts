import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { Logger } from 'winston'
import type { SqlDatabaseGroup } from '../upstream/sql-database-group.js'
import type { PausableDatabase } from './pausable-database.js'
import type { GroupTask } from './group-task.js'

export interface GroupTaskOptions {
  name: string
  group: Group
  databases: SqlDatabaseGroup
  clock: Clock
  logger: Logger
  seed: number
  suspectAfterMs: number
  rankDelayMs: number
  /** Requests that run or wait at this pool for a database; 0 for databases that other pools own. */
  readLoad: (database: string) => number
  /** The task of a database that this pool owns; undefined for the others. */
  findOwnDatabase: (database: string) => PausableDatabase | undefined
  handlePromotion: (succeeded: boolean) => void
  /** The group's state changed; notifications are sent at most every few milliseconds. */
  handleChange: (task: GroupTask) => void
}
