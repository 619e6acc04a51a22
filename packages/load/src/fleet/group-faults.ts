interface MemberFaults {
  paused?: boolean
  crashed?: boolean
  extraServiceMs?: number
  dropCommitAnswers?: number
}

interface Faults {
  partitions: Array<{ from: string, to: string }>
  lags: Array<{ from: string, to: string, ms: number }>
  clients: Array<{ database: string }>
  databases: Record<string, MemberFaults>
}

/** Active faults of one group. All of them are sent together, because each call to the database stand-in replaces all faults. */
export class GroupFaults {
  readonly #cutOffDatabases = new Set<string>()
  readonly #lags = new Map<string, number>()
  readonly #memberFaults = new Map<string, MemberFaults>()

  static create (): GroupFaults {
    return new GroupFaults()
  }

  /** Partitions a database from replicas and hosts. Its process keeps running. */
  addCutOff (database: string): void {
    this.#cutOffDatabases.add(database)
  }

  addLag (database: string, milliseconds: number): void {
    this.#lags.set(database, milliseconds)
  }

  addMemberFaults (database: string, faults: MemberFaults): void {
    this.#memberFaults.set(database, { ...this.#memberFaults.get(database), ...faults })
  }

  /** Removes all faults of a database. */
  remove (database: string): void {
    this.#cutOffDatabases.delete(database)
    this.#lags.delete(database)
    this.#memberFaults.delete(database)
  }

  build (): Faults {
    const cutOff = [...this.#cutOffDatabases]
    return {
      partitions: cutOff.flatMap((database) => [{ from: database, to: '*' }, { from: '*', to: database }]),
      lags: [...this.#lags].map(([database, ms]) => ({ from: '*', to: database, ms })),
      clients: cutOff.map((database) => ({ database })),
      databases: Object.fromEntries(this.#memberFaults)
    }
  }
}
