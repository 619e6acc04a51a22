import type { BudgetTask } from '../budget/budget-task.js'
import type { CatalogueTask } from '../store/catalogue-task.js'
import type { GroupFreshness } from '../upstream/group-freshness.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { ObjectWatcher } from '../store/object-watcher.js'
import type { UpstreamsTask } from '../store/upstreams-task.js'
import type { GroupClaims } from '../failover/group-claims.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'

/** What calls of other hosts reach. */
export interface HostParts {
  clock: Clock
  /** Looks whether the host was suspended; ages that others rely on would be too low. */
  checkClocks: () => void
  budget: BudgetTask
  catalogue: CatalogueTask
  registry: OwnerRegistry
  upstreams: UpstreamsTask
  claims: GroupClaims
  findFreshness: (group: string) => GroupFreshness
  /** All kinds of objects that hosts take from each other. */
  watchers: readonly ObjectWatcher[]
  isLeaving: () => boolean
}
