import type { Position } from '@tanagerusher/state/position/position'

export interface RaiseTermAnswer {
  granted: boolean
  promisedTerm: number
  log: Position
}
