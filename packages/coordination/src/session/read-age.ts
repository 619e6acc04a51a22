interface CreateOptions {
  /** Age of the data when the owner of the database sent the status; undefined when it was not known. */
  dataAgeMs: number | undefined
  /** Age of the observation when the status was sent. */
  observedAgeMs: number
  /** When the status arrived, on this host's clock. */
  receivedAt: number
}

/**
 * Age of the data that a replica serves. Between two statuses the age is taken to grow with time, so a silent replica
 * or a silent owner can only make the data look older than they are.
 */
export class ReadAge {
  readonly #freshAt: number | undefined

  private constructor ({ dataAgeMs, observedAgeMs, receivedAt }: CreateOptions) {
    this.#freshAt = dataAgeMs === undefined ? undefined : receivedAt - dataAgeMs - observedAgeMs
  }

  static create (options: CreateOptions): ReadAge {
    return new ReadAge(options)
  }

  /** Upper bound of the age at `now`; infinite when it was never known. */
  compute (now: number): number {
    return this.#freshAt === undefined ? Number.POSITIVE_INFINITY : now - this.#freshAt
  }

  isWithin (maximumAgeMs: number, now: number): boolean {
    return this.compute(now) <= maximumAgeMs
  }
}
