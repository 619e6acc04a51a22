import type { FaultState } from '../faults/fault-state.js'
import type { ChangeWaiters } from '../member/change-waiters.js'
import type { DatabaseMember } from '../member/database-member.js'
import type { DatabaseSettings } from '../settings/database-settings.js'
import type { PlanCache } from '../sql/plan-cache.js'
import type { StatementParser } from '../sql/statement-parser.js'
import type { SlotSemaphore } from './slot-semaphore.js'

/** Objects that all sessions of one database share. */
export interface SessionEnvironment {
  settings: DatabaseSettings
  member: DatabaseMember
  waiters: ChangeWaiters
  faults: FaultState
  slots: SlotSemaphore
  parser: StatementParser
  plans: PlanCache
}
