/** One request of a caller as an adapter hands it over: frontend messages that form a whole statement. */
export interface CallerRequest {
  requestId: string
  frames: Uint8Array
}
