/** One frontend message. `bytes` holds the whole message with type and length, as a view of the received data. */
export interface FrontendFrame {
  type: number
  bytes: Buffer
}
