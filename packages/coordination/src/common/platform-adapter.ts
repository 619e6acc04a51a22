import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { CallerCodec } from './caller-codec.js'
import type { ObjectStore } from './object-store.js'
import type { StoreObject } from './store-object.js'
import type { Promoter } from './promoter.js'
import type { UpstreamConnector } from './upstream-connector.js'

/** Everything that a host needs of the platform it runs on. */
export interface PlatformAdapter {
  readonly store: ObjectStore
  readonly connector: UpstreamConnector
  readonly promoter: Promoter
  /** Where the store keeps the catalogue. */
  readonly catalogueLocation: { kind: string, name: string }
  /** Kind under which databases register in the store. */
  readonly upstreamKind: string
  /** HTTP path on which the balancer asks whether the host takes callers. */
  readonly readinessPath: string
  createCallerCodec(): CallerCodec
  decodeCatalogue(value: unknown, handleInvalid: (reason: string) => void): Catalogue | undefined
  decodeUpstreamRecord(object: StoreObject): UpstreamRecord | undefined
  decodeUpstreamStatus(rows: readonly string[]): UpstreamStatus | undefined
}
