import type { Position } from '@tanagerusher/state/position/position'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import { isFloorSatisfied } from './is-floor-satisfied.js'

interface CreateOptions {
  /** Floors that the session brought along in a token. */
  floors?: Iterable<readonly [group: string, floor: Position]>
}

/** Lowest position that a session must see, for each group. A floor only rises. */
export class SessionFloor {
  readonly #floors = new Map<string, Position>()
  #revision = 0

  private constructor () {}

  static create ({ floors = [] }: CreateOptions = {}): SessionFloor {
    const floor = new SessionFloor()
    for (const [group, position] of floors) floor.raise(group, position)
    return floor
  }

  /** Rises with every change, so that the owner knows when the caller's token is out of date. */
  get revision (): number {
    return this.#revision
  }

  find (group: string): Position | undefined {
    return this.#floors.get(group)
  }

  /** Raises the floor of a group to `position` unless it is higher already. The most recently raised group is last. */
  raise (group: string, position: Position): void {
    const known = this.#floors.get(group)
    if (known !== undefined && comparePositions(known, position) >= 0) return
    this.#floors.delete(group)
    this.#floors.set(group, position)
    this.#revision++
  }

  /** Whether a log that ends at `log` may serve the session. A session without a floor is satisfied by no log. */
  isSatisfied (group: string, log: Position): boolean {
    const floor = this.#floors.get(group)
    return floor !== undefined && isFloorSatisfied(log, floor)
  }

  list (): ReadonlyMap<string, Position> {
    return this.#floors
  }
}
