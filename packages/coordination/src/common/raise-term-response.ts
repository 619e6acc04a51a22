import type { Position } from '@tanagerusher/state/position/position'

export interface RaiseTermResponse {
  granted: boolean
  promisedTerm: number
  log: Position
}
