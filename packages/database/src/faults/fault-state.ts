import { databaseFaultsSchema, type DatabaseFaults } from './database-faults.js'

/** Current injected faults of the process, which sockets and statements check. */
export class FaultState {
  #faults: DatabaseFaults = databaseFaultsSchema.parse({})
  readonly #listeners = new Set<() => void>()

  static create (): FaultState {
    return new FaultState()
  }

  get faults (): DatabaseFaults { return this.#faults }

  replace (faults: DatabaseFaults): void {
    this.#faults = faults
    for (const listener of [...this.#listeners]) listener()
  }

  /** Calls `listener` after every replacement until the returned function is called. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Whether the database processes nothing. A crashed database counts as paused, so that requests held during a pause have no effect. */
  isPaused (database: string): boolean {
    return (this.#faults.databases[database]?.paused ?? false) || this.isCrashed(database)
  }

  isCrashed (database: string): boolean {
    return this.#faults.databases[database]?.crashed ?? false
  }

  readExtraServiceMs (database: string): number {
    return this.#faults.databases[database]?.extraServiceMs ?? 0
  }

  isLinkBlocked (from: string, to: string): boolean {
    return this.#faults.partitions.some((partition) => isMatch(partition.from, from) && isMatch(partition.to, to))
  }

  readLagMs (from: string, to: string): number {
    return this.#faults.lags.reduce((lag, { from: source, to: target, ms }) => isMatch(source, from) && isMatch(target, to) ? Math.max(lag, ms) : lag, 0)
  }

  isClientBlocked (database: string, address: string, direction: 'requests' | 'answers'): boolean {
    return this.#faults.clients.some((fault) => isMatch(fault.database, database) && isAddressMatch(fault.address, address) &&
      (fault.direction === 'both' || fault.direction === direction))
  }

  /** Returns whether the response to this commit must be dropped, and if so decrements the number of responses left to drop. */
  takeDroppedCommitResponse (database: string): boolean {
    const faults = this.#faults.databases[database]
    if (faults === undefined || faults.dropCommitAnswers === 0) return false
    faults.dropCommitAnswers--
    return true
  }

  /** Resolves when the database is not paused: immediately, or after the fault that pauses it has been removed. */
  async waitWhilePaused (database: string): Promise<void> {
    while (this.isPaused(database)) {
      await new Promise<void>((resolve) => {
        const unwatch = this.watch(() => {
          unwatch()
          resolve()
        })
      })
    }
  }
}

function isMatch (pattern: string, name: string): boolean {
  return pattern === '*' || pattern === name
}

function isAddressMatch (pattern: string, address: string): boolean {
  const normalized = address.replace(/^::ffff:/, '')
  return pattern === '*' || pattern === normalized || (pattern.endsWith('.') && normalized.startsWith(pattern))
}
