/** One message of a caller. `message` is a view into the frames of the request. */
export interface FrontendMessage {
  type: number
  message: Buffer
}
