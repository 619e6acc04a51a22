/** Identity of a caller's session. It is the same at every host that the session moves to. */
export interface SessionIdentity {
  session: string
  organisation: string
  /** Name of the key in the history. `password` is the key itself. */
  keyName: string
  password: string
  entry: string
  group: string
}
