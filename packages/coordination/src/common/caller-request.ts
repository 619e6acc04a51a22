/** One request of a caller as a protocol adapter passes it on: the frontend messages of one complete statement. */
export interface CallerRequest {
  requestId: string
  frames: Uint8Array
}
