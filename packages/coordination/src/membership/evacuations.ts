interface CreateOptions {
  /** Bound of an evacuation: the databases of the data centre receive no more requests this long after the store acknowledged it. */
  evacuateMs: number
  startedAt: number
}

interface Update {
  /** Data centres whose objects were written. */
  changed: readonly string[]
  /** Data centres whose objects are gone. */
  removed: readonly string[]
  /** Whether the update is the first one after a restore of the store, so that objects may be gone only because the copy lacked them. */
  isRestored: boolean
  /** Time since the copy was last confirmed to be current, before this update. */
  confirmationAgeMs: number
}

interface Evacuation {
  learntAt: number
  closesAt: number
  /** End of the evacuation when the restored store lacks its object. */
  retainedUntil: number | undefined
}

/** Result of an update or of the passage of time. `ageMs` is the time since the evacuation was learnt. */
export type EvacuationEvent =
  | { type: 'learnt', dataCentre: string, closesInMs: number }
  | { type: 'retained', dataCentre: string, ageMs: number, remainingMs: number }
  | { type: 'ended', dataCentre: string, ageMs: number }

/** Leaves the other half for the delay until hosts learn of the evacuation, which is about a second. */
const OPEN_FRACTION = 0.5
/** Time for which an evacuation stays in force after a restore of the store from a copy without it. */
const RETENTION_MS = 60_000
/** A host in contact with the store confirms its copy more often than every `evacuateMs` and this time: two watches and a ping. */
const CONFIRMATION_MARGIN_MS = 2000
/** The first list of the evacuations arrives well within this time unless the store is unreachable. */
const FIRST_LIST_TIMEOUT_MS = 1000

/**
 * Data centres whose databases are to be emptied, each with the time at which this host learnt of it. A host that may have learnt late,
 * because it started or had no contact with the store, closes the databases immediately.
 */
export class Evacuations {
  readonly #evacuateMs: number
  readonly #startedAt: number
  readonly #evacuations = new Map<string, Evacuation>()
  #isLoaded = false

  private constructor ({ evacuateMs, startedAt }: CreateOptions) {
    this.#evacuateMs = evacuateMs
    this.#startedAt = startedAt
  }

  static create (options: CreateOptions): Evacuations {
    return new Evacuations(options)
  }

  get dataCentres (): string[] { return [...this.#evacuations.keys()] }

  /** Whether reads and new transactions avoid the databases of the data centre. */
  isEvacuated (dataCentre: string): boolean {
    return this.#evacuations.has(dataCentre)
  }

  /** Whether all work for the databases of the data centre is refused. Until the first list, that is every data centre, for a short time. */
  isClosed (dataCentre: string, now: number): boolean {
    const evacuation = this.#evacuations.get(dataCentre)
    if (evacuation !== undefined) return now >= evacuation.closesAt
    return !this.#isLoaded && now - this.#startedAt < FIRST_LIST_TIMEOUT_MS
  }

  /** Time in ms since this host learnt of the evacuation; undefined when there is none. */
  findAgeMs (dataCentre: string, now: number): number | undefined {
    const evacuation = this.#evacuations.get(dataCentre)
    return evacuation === undefined ? undefined : now - evacuation.learntAt
  }

  apply ({ changed, removed, isRestored, confirmationAgeMs }: Update, now: number): EvacuationEvent[] {
    const isLate = !this.#isLoaded || confirmationAgeMs > this.#evacuateMs + CONFIRMATION_MARGIN_MS
    this.#isLoaded = true
    const ended = removed.flatMap((dataCentre) => isRestored ? this.#retain(dataCentre, now) : this.#end(dataCentre, now))
    const learnt = changed.flatMap((dataCentre) => this.#learn(dataCentre, isLate, now))
    return [...ended, ...learnt]
  }

  /** Closes all evacuated data centres. Called after a suspension, whose duration this host does not know. Returns those that were open. */
  closeAll (now: number): string[] {
    const open = [...this.#evacuations].filter(([, { closesAt }]) => closesAt > now)
    for (const [, evacuation] of open) evacuation.closesAt = now
    return open.map(([dataCentre]) => dataCentre)
  }

  /** Ends the evacuations that a restored store has lacked for long enough. */
  expire (now: number): EvacuationEvent[] {
    const expired = [...this.#evacuations].filter(([, { retainedUntil }]) => retainedUntil !== undefined && retainedUntil <= now)
    return expired.flatMap(([dataCentre]) => this.#end(dataCentre, now))
  }

  #learn (dataCentre: string, isLate: boolean, now: number): EvacuationEvent[] {
    const known = this.#evacuations.get(dataCentre)
    if (known !== undefined) {
      known.retainedUntil = undefined
      return []
    }
    const closesInMs = isLate ? 0 : this.#evacuateMs * OPEN_FRACTION
    this.#evacuations.set(dataCentre, { learntAt: now, closesAt: now + closesInMs, retainedUntil: undefined })
    return [{ type: 'learnt', dataCentre, closesInMs }]
  }

  #retain (dataCentre: string, now: number): EvacuationEvent[] {
    const evacuation = this.#evacuations.get(dataCentre)
    if (evacuation === undefined) return []
    evacuation.retainedUntil = now + RETENTION_MS
    return [{ type: 'retained', dataCentre, ageMs: now - evacuation.learntAt, remainingMs: RETENTION_MS }]
  }

  #end (dataCentre: string, now: number): EvacuationEvent[] {
    const evacuation = this.#evacuations.get(dataCentre)
    if (evacuation === undefined) return []
    this.#evacuations.delete(dataCentre)
    return [{ type: 'ended', dataCentre, ageMs: now - evacuation.learntAt }]
  }
}
