import type { Position } from '@tanagerusher/state/position/position'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import { isFloorSatisfied } from './is-floor-satisfied.js'

interface CreateOptions {
  /** Floors from the token that the session was opened with. */
  floors?: Iterable<readonly [group: string, floor: Position]>
}

/** For each group, the lowest log position that a session's reads must see. A floor never decreases. */
export class SessionFloor {
  readonly #floors = new Map<string, Position>()
  #revision = 0

  private constructor () {}

  static create ({ floors = [] }: CreateOptions = {}): SessionFloor {
    const floor = new SessionFloor()
    for (const [group, position] of floors) floor.raise(group, position)
    return floor
  }

  /** Increases with every change. A caller's token is out of date when it was issued at a lower revision. */
  get revision (): number {
    return this.#revision
  }

  find (group: string): Position | undefined {
    return this.#floors.get(group)
  }

  /** Raises the floor of a group to `position` unless it is that high already, and moves the raised group to the end of the list. */
  raise (group: string, position: Position): void {
    const current = this.#floors.get(group)
    if (current !== undefined && comparePositions(current, position) >= 0) return
    this.#floors.delete(group)
    this.#floors.set(group, position)
    this.#revision++
  }

  /** Returns whether a database whose log ends at `log` may serve the session. False for every log when the group has no floor. */
  isSatisfied (group: string, log: Position): boolean {
    const floor = this.#floors.get(group)
    return floor !== undefined && isFloorSatisfied(log, floor)
  }

  list (): ReadonlyMap<string, Position> {
    return this.#floors
  }
}
