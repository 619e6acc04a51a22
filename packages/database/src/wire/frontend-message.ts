/** Message of a client after the start-up phase: its type byte and its body. */
export interface FrontendMessage {
  type: string
  body: Buffer
}
