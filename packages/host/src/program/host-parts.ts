import type { BudgetTask } from '../budget/budget-task.js'
import type { CatalogueTask } from '../store/catalogue-task.js'
import type { GroupFreshness } from '../upstream/group-freshness.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { ObjectWatcher } from '../store/object-watcher.js'
import type { UpstreamsTask } from '../store/upstreams-task.js'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'

/** What calls of other hosts reach. */
export interface HostParts {
  clock: Clock
  budget: BudgetTask
  catalogue: CatalogueTask
  registry: OwnerRegistry
  upstreams: UpstreamsTask
  incarnation: string
  /** Takes a claim of a group, and gives this host's right to its primary up while it has not ended. */
  handleClaim: (group: string, claim: PromotionClaim, revision: number, quiesceMs: number) => Promise<void>
  findFreshness: (group: string) => GroupFreshness
  /** All kinds of objects that hosts take from each other. */
  watchers: readonly ObjectWatcher[]
  isLeaving: () => boolean
}
