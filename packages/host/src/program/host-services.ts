import type { BudgetTask } from '../budget/budget-task.js'
import type { CatalogueTask } from '../store/catalogue-task.js'
import type { PrimaryPositionTracker } from '../upstream/primary-position-tracker.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { ObjectWatcher } from '../store/object-watcher.js'
import type { UnusableEntries } from '../store/unusable-entries.js'
import type { UpstreamsTask } from '../store/upstreams-task.js'
import type { ClaimHandler } from '../failover/claim-handler.js'
import type { Evacuations } from '@tanagerusher/coordination/membership/evacuations'
import type { Clock } from '@tanagerusher/coordination/common/clock'

/** Parts of this host that the calls of other hosts and the metrics use. */
export interface HostServices {
  clock: Clock
  /** Checks for a suspension of the host, after which the ages that it sends to other hosts would be too low. */
  checkClocks: () => void
  budget: BudgetTask
  catalogue: CatalogueTask
  registry: OwnerRegistry
  upstreams: UpstreamsTask
  claimHandler: ClaimHandler
  findPositionTracker: (group: string) => PrimaryPositionTracker
  /** Undefined where evacuations are not followed. */
  evacuations: Evacuations | undefined
  /** One watcher for each kind of objects that hosts copy from each other. */
  watchers: readonly ObjectWatcher[]
  /** Entries of the store that cannot be decoded, by kind. */
  unusableEntries: readonly UnusableEntries[]
  isLeaving: () => boolean
}
