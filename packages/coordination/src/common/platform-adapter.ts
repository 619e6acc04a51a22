import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { CallerCodec } from './caller-codec.js'
import type { ObjectStore } from './object-store.js'
import type { StoreObject } from './store-object.js'
import type { Promoter } from './promoter.js'
import type { UpstreamConnector } from './upstream-connector.js'

/** The interfaces of the platform that a host depends on. */
export interface PlatformAdapter {
  readonly store: ObjectStore
  readonly connector: UpstreamConnector
  readonly promoter: Promoter
  /** Kind and name of the store object that holds the catalogue. */
  readonly catalogueLocation: { kind: string, name: string }
  /** Kind of the store objects with which databases register. */
  readonly upstreamKind: string
  /** Kind of the store objects that name the data centres to be evacuated. */
  readonly evacuationKind: string
  /** HTTP path at which the load balancer checks whether the host accepts callers. */
  readonly readinessPath: string
  createCallerCodec(): CallerCodec
  decodeCatalogue(value: unknown, handleInvalid: (reason: string) => void): Catalogue | undefined
  /** Parses the value of a directory entry into what `decodeUpstreamRecord` reads; accepts its own results. */
  parseUpstreamEntry(value: unknown): unknown
  /** Returns undefined, and calls `handleInvalid` with the reason, when the object describes no usable database. */
  decodeUpstreamRecord(object: StoreObject, handleInvalid: (reason: string) => void): UpstreamRecord | undefined
  decodeUpstreamStatus(rows: readonly string[]): UpstreamStatus | undefined
}
