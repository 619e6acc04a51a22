import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { StoredStatement } from './stored-statement.js'

interface CreateOptions {
  maximumStatements: number
}

/** Prepared statements of one session, keyed by the caller's names. The unnamed statement has the empty name. */
export class StatementStore {
  readonly #maximumStatements: number
  readonly #statements = new Map<string, StoredStatement>()

  private constructor ({ maximumStatements }: CreateOptions) {
    this.#maximumStatements = maximumStatements
  }

  static create (options: CreateOptions): StatementStore {
    return new StatementStore(options)
  }

  find (name: string): StoredStatement | undefined {
    return this.#statements.get(name)
  }

  /**
   * Adds the statement of a Parse message.
   * @throws TanagerusherError when the idempotency key or session token in the statement comment is invalid, the name is in use,
   * or the session has too many statements
   */
  add (name: string, text: string, frame: Buffer): StoredStatement {
    if (name !== '' && this.#statements.has(name)) throw createViolation(`prepared statement "${name}" already exists`)
    if (this.#statements.size >= this.#maximumStatements) throw createViolation(`more than ${this.#maximumStatements} prepared statements`)
    const statement = StoredStatement.create({ name, text, frame })
    this.#statements.set(name, statement)
    return statement
  }

  remove (name: string): void {
    this.#statements.delete(name)
  }
}

function createViolation (reason: string): TanagerusherError {
  return TanagerusherError.create('protocol-violation', { details: { reason } })
}
