/** One message of a caller, as a view of the frames of its request. */
export interface FrontendMessage {
  type: number
  message: Buffer
}
