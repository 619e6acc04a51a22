/** Verifier of one key. `name` identifies the key to the entry; it is never sent to the caller. */
export interface ScramVerifier {
  name: string
  generation: number
  storedKey: Buffer
  serverKey: Buffer
}
