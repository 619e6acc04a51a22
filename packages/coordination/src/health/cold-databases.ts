interface RegisteredDatabase {
  id: string
  startedAt: number
  /** Revision of the entry. */
  revision: number
  /** Remaining time in ms for which the database was cold when it wrote the entry. */
  warmupLeftMs: number
}

/**
 * Databases that are cold: after their start, according to their entries, and after events that this host noticed. An entry counts from its
 * receipt, because clocks of hosts and databases are not compared, and replaces what was known before.
 */
export class ColdDatabases {
  /** Time until which each database is cold, by id. */
  readonly #coldUntil = new Map<string, number>()
  /** Entry that was applied last, by id. A list contains entries that were received before. */
  readonly #applied = new Map<string, { startedAt: number, revision: number }>()

  static create (): ColdDatabases {
    return new ColdDatabases()
  }

  /** Returns the time in ms for which the database is cold, or undefined when the entry was applied before. */
  applyEntry ({ id, startedAt, revision, warmupLeftMs }: RegisteredDatabase, now: number): number | undefined {
    const applied = this.#applied.get(id)
    if (applied !== undefined && applied.revision === revision && applied.startedAt === startedAt) return undefined
    this.#applied.set(id, { startedAt, revision })
    if (warmupLeftMs > 0) this.#coldUntil.set(id, now + warmupLeftMs)
    else this.#coldUntil.delete(id)
    return warmupLeftMs
  }

  /** Records that the database is cold for at least `durationMs` from now on. */
  add (id: string, durationMs: number, now: number): void {
    this.#coldUntil.set(id, Math.max(now + durationMs, this.#coldUntil.get(id) ?? -Infinity))
  }

  remove (id: string): void {
    this.#coldUntil.delete(id)
    this.#applied.delete(id)
  }

  isCold (id: string, now: number): boolean {
    const coldUntil = this.#coldUntil.get(id)
    if (coldUntil === undefined) return false
    if (coldUntil > now) return true
    this.#coldUntil.delete(id)
    return false
  }
}
