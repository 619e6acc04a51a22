/** Failure of a command: its kind (one of the errors catalogue, `unreachable` or `usage`), message and remedy. */
export class CommandFailure extends Error {
  readonly kind: string
  readonly remedy: string

  constructor (kind: string, message: string, remedy: string) {
    super(message)
    this.kind = kind
    this.remedy = remedy
  }
}
