/** Error of a statement; `sqlState` is the error code that the client receives. */
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
