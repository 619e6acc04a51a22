import type { Position } from '@tanagerusher/state/position/position'
import type { DataAge } from './data-age.js'

/** Last reported status of one database of a group, as input of `ReplicaSelector`. */
export interface ReplicaCandidate {
  database: string
  dataCentre: string
  region: string
  isPrimary: boolean
  isReachable: boolean
  /** A leaving database receives no new requests. */
  isLeaving: boolean
  log: Position
  load: number
  age: DataAge
  observedAt: number
}
