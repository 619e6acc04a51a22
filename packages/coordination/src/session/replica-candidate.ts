import type { Position } from '@tanagerusher/state/position/position'
import type { ReadAge } from './read-age.js'

/** What the selector knows of one database of a group. */
export interface ReplicaCandidate {
  database: string
  dataCentre: string
  region: string
  isPrimary: boolean
  isReachable: boolean
  /** A leaving database gets no new work. */
  isLeaving: boolean
  log: Position
  load: number
  age: ReadAge
  receivedAt: number
}
