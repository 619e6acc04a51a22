import type { Logger } from 'winston'

interface CreateOptions {
  /** Kind of the store objects. */
  kind: string
  logger: Logger
}

interface UnusableEntry { name: string, reason: string }

/** Another writer chooses the names, so their length is limited before they are logged. */
const MAX_NAME_LENGTH = 100
/** Bounds the memory for entries that another writer may leave in any number. Every entry is logged. */
const MAX_ENTRIES = 100

/** Objects of one kind in the store that cannot be decoded, with the reasons, for operators. */
export class UnusableEntries {
  readonly #kind: string
  readonly #logger: Logger
  readonly #reasons = new Map<string, string>()

  private constructor ({ kind, logger }: CreateOptions) {
    this.#kind = kind
    this.#logger = logger
  }

  static create (options: CreateOptions): UnusableEntries {
    return new UnusableEntries(options)
  }

  get kind (): string { return this.#kind }
  get all (): UnusableEntry[] { return [...this.#reasons].map(([name, reason]) => ({ name, reason })) }

  record (fullName: string, revision: number, reason: string): void {
    const name = fullName.slice(0, MAX_NAME_LENGTH)
    if (this.#reasons.has(name) || this.#reasons.size < MAX_ENTRIES) this.#reasons.set(name, reason)
    this.#logger.warn('entry cannot be decoded and is left out', { kind: this.#kind, name, revision, reason })
  }

  /** Called when the entry was removed or can be decoded again. */
  remove (fullName: string): void {
    this.#reasons.delete(fullName.slice(0, MAX_NAME_LENGTH))
  }
}
