/** A command that could not be done: kind of the errors catalogue (or `unreachable`, `usage`), message and remedy. */
export class CommandFailure extends Error {
  readonly kind: string
  readonly remedy: string

  constructor (kind: string, message: string, remedy: string) {
    super(message)
    this.kind = kind
    this.remedy = remedy
  }
}
