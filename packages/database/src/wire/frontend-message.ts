/** Message of a client: its type byte (empty for a start-up packet) and its body. */
export interface FrontendMessage {
  type: string
  body: Buffer
}
