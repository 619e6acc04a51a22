/** Who a caller's session is: it stays the same on every host that the session moves to. */
export interface SessionIdentity {
  session: string
  organisation: string
  /** Identity of the key in the history, and the key itself. */
  keyName: string
  password: string
  entry: string
  group: string
}
