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

/** Faults of one group that are in force at once. The stand-in replaces all of them with each call. */
export class GroupFaults {
  readonly #cutOff = new Set<string>()
  readonly #lags = new Map<string, number>()
  readonly #members = new Map<string, MemberFaults>()

  static create (): GroupFaults {
    return new GroupFaults()
  }

  /** Neither replicas nor hosts reach the database; it runs on. */
  addCutOff (database: string): void {
    this.#cutOff.add(database)
  }

  addLag (database: string, milliseconds: number): void {
    this.#lags.set(database, milliseconds)
  }

  addMemberFaults (database: string, faults: MemberFaults): void {
    this.#members.set(database, { ...this.#members.get(database), ...faults })
  }

  /** Ends all faults of a database. */
  remove (database: string): void {
    this.#cutOff.delete(database)
    this.#lags.delete(database)
    this.#members.delete(database)
  }

  build (): Faults {
    const cut = [...this.#cutOff]
    return {
      partitions: cut.flatMap((database) => [{ from: database, to: '*' }, { from: '*', to: database }]),
      lags: [...this.#lags].map(([database, ms]) => ({ from: '*', to: database, ms })),
      clients: cut.map((database) => ({ database })),
      databases: Object.fromEntries(this.#members)
    }
  }
}
