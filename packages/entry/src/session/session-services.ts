import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { Tracing } from '@tanagerusher/runtime/trace/tracing'
import type { Logger } from 'winston'
import type { ConfigurationView } from '../link/configuration-view.js'
import type { EntryMetrics } from '../metrics/entry-metrics.js'
import type { RateLimiter } from '../rate/rate-limiter.js'
import type { PoolDirectory } from '../routing/pool-directory.js'
import type { RequestRouter } from '../routing/request-router.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { SessionRegistry } from './session-registry.js'
import type { SessionTokens } from './session-tokens.js'

/** Services that all caller sessions of the process share. */
export interface SessionServices {
  settings: EntrySettings
  incarnation: string
  clock: Clock
  logger: Logger
  configuration: ConfigurationView
  rateLimiter: RateLimiter
  router: RequestRouter
  pools: PoolDirectory
  tokens: SessionTokens
  registry: SessionRegistry
  metrics: EntryMetrics
  tracing: Tracing
  /** Returns the error for every request while the configuration is stale and keys may have been withdrawn since. */
  findStalenessError: () => TanagerusherError | undefined
}
