import type { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformStore } from '@tanagerusher/coordination/common/platform-store'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'
import type { ControlSettings } from '../settings/control-settings.js'
import type { HostStatus } from '../status/host-status.js'

/** Dependencies of the routes of the administration API. */
export interface AdministrationContext {
  settings: ControlSettings
  clock: Clock
  store: PlatformStore
  logger: Logger
  links: PeerLinks
  replica: ConfigurationReplica
  view: MembershipView
  shareTable: ShareTable
  describeStatus: () => HostStatus
}
