/** Error that a statement ends with; `sqlState` is what the client sees. */
export class SqlError extends Error {
  readonly sqlState: string

  private constructor (sqlState: string, message: string) {
    super(message)
    this.name = 'SqlError'
    this.sqlState = sqlState
  }

  static create (sqlState: string, message: string): SqlError {
    return new SqlError(sqlState, message)
  }
}
