import type { Position } from '../position/position.js'

/** What a database answers to a status command. */
export interface UpstreamStatus {
  isPrimary: boolean
  term: number
  /** Newest position received. */
  position: Position
}
