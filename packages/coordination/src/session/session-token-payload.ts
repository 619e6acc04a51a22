import type { Position } from '@tanagerusher/state/position/position'

export interface SessionTokenPayload {
  organisation: string
  floors: ReadonlyMap<string, Position>
}
