import type { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Logger } from 'winston'
import type { BudgetTask } from '../budget/budget-task.js'
import type { HostMetrics } from '../program/host-metrics.js'
import type { OperationRunner } from './operation-runner.js'

/** What callers' tasks share. */
export interface CallerServices {
  catalogue: CatalogueReplica
  budget: BudgetTask
  runner: OperationRunner
  clock: Clock
  logger: Logger
  metrics: HostMetrics
  /** Checks the clocks for a suspension; called before a decision that rests on the age of something. */
  checkClocks: () => void
  /** Time by which the last answer must be written when the host stops; undefined while it does not. */
  findAnswerDeadline: () => number | undefined
}
