import type { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Logger } from 'winston'
import type { BudgetTask } from '../budget/budget-task.js'
import type { HostMetrics } from '../program/host-metrics.js'
import type { OperationRunner } from './operation-runner.js'

/** Services shared by the tasks of all callers. */
export interface CallerServices {
  catalogue: CatalogueReplica
  budget: BudgetTask
  runner: OperationRunner
  clock: Clock
  logger: Logger
  metrics: HostMetrics
  /** Checks the clocks for a suspension of the host. Must be called before a decision that depends on an age. */
  checkClocks: () => void
  /** Returns the time by which the last response must be written when the host is stopping, otherwise undefined. */
  findResponseDeadline: () => number | undefined
  /** Returns the time after which no transaction continues or begins when the host is stopping, otherwise undefined. */
  findTransactionDeadline: () => number | undefined
}
