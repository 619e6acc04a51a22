interface CreateOptions {
  /** Age of the data when the owner of the database sent the status; undefined when it was not known. */
  dataAgeMs: number | undefined
  /** Age of the observation when the status was sent. */
  observedAgeMs: number
  /** Time of this host's clock at which the status was received. */
  receivedAt: number
}

/**
 * Age of the data that a replica serves. The age is assumed to grow with time until the next status arrives, so an
 * unresponsive replica or owner can only make the data appear older than it is.
 */
export class DataAge {
  readonly #currentAt: number | undefined

  private constructor ({ dataAgeMs, observedAgeMs, receivedAt }: CreateOptions) {
    this.#currentAt = dataAgeMs === undefined ? undefined : receivedAt - dataAgeMs - observedAgeMs
  }

  static create (options: CreateOptions): DataAge {
    return new DataAge(options)
  }

  /** Returns an upper bound of the age at `now`; infinite when the status had no age. */
  computeMs (now: number): number {
    return this.#currentAt === undefined ? Number.POSITIVE_INFINITY : now - this.#currentAt
  }

  isWithin (maximumAgeMs: number, now: number): boolean {
    return this.computeMs(now) <= maximumAgeMs
  }
}
