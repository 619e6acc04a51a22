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
  /** Number of running and queued requests for a database in this pool; 0 for databases that other pools own. */
  readLoad: (database: string) => number
  /** Finds the task of a database that this pool owns; undefined for other databases. */
  findOwnDatabase: (database: string) => PausableDatabase | undefined
  handlePromotion: (succeeded: boolean) => void
  /** Called on each change of the group's status. The receiver limits the rate of notifications. */
  handleChange: (task: GroupTask) => void
}
