import type { Position } from '../position/position.js'

/** Response of a database to a status command. */
export interface UpstreamStatus {
  isPrimary: boolean
  term: number
  /** Newest position received. */
  position: Position
}
