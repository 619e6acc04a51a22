import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'
import type { ScramVerifier } from './scram-verifier.js'

interface CreateOptions {
  salt: Buffer
  iterations: number
  /** Verifiers of all valid keys of the organisation, with this salt. Empty for an unknown organisation. */
  verifiers: readonly ScramVerifier[]
  /** Server nonce: printable ASCII without a comma. */
  nonce: string
}

interface VerifiedClient {
  serverFinal: string
  verifier: ScramVerifier
}

const MAXIMUM_CLIENT_NONCE_LENGTH = 512

/**
 * Server side of one SCRAM-SHA-256 exchange (RFC 5802). The client proves knowledge of a key for the salt and iteration
 * count that the server announced; the keys of an organisation share both, so the proof can be checked against every
 * verifier without knowing which key the client holds. All verifiers are always checked, each in constant time, and an
 * unknown organisation takes the same steps.
 */
export class ScramServer {
  readonly #options: CreateOptions
  #clientFirstBare = ''
  #serverFirst = ''
  #nonce = ''
  #header = ''

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ScramServer {
    return new ScramServer(options)
  }

  /** Takes the client-first-message and returns the server-first-message. */
  handleClientFirst (message: string): Result<string, TanagerusherError> {
    const match = /^([ny],(?:a=[^,]*)?,)(n=[^,]*,r=([\x21-\x2b\x2d-\x7e]+)(?:,.*)?)$/.exec(message)
    if (match === null) return fail('SCRAM client-first-message is malformed or asks for channel binding')
    const clientNonce = match[3] as string
    if (clientNonce.length > MAXIMUM_CLIENT_NONCE_LENGTH) return fail('SCRAM nonce is too long')
    this.#header = match[1] as string
    this.#clientFirstBare = match[2] as string
    this.#nonce = `${clientNonce}${this.#options.nonce}`
    this.#serverFirst = `r=${this.#nonce},s=${this.#options.salt.toString('base64')},i=${this.#options.iterations}`
    return ok(this.#serverFirst)
  }

  /** Takes the client-final-message. `undefined` when no verifier matches the proof. */
  handleClientFinal (message: string): Result<VerifiedClient | undefined, TanagerusherError> {
    const match = /^(c=([A-Za-z0-9+/=]+),r=([^,]+)(?:,[^p][^,]*)*),p=([A-Za-z0-9+/]{43}=)$/.exec(message)
    if (match === null || this.#serverFirst === '') return fail('SCRAM client-final-message is malformed')
    if (match[2] !== Buffer.from(this.#header).toString('base64')) return fail('SCRAM channel binding does not match')
    if (match[3] !== this.#nonce) return fail('SCRAM nonce does not match')
    const authMessage = `${this.#clientFirstBare},${this.#serverFirst},${match[1]}`
    const verifier = this.#findVerifier(authMessage, Buffer.from(match[4] as string, 'base64'))
    if (verifier === undefined) return ok(undefined)
    const signature = createHmac('sha256', verifier.serverKey).update(authMessage).digest('base64')
    return ok({ serverFinal: `v=${signature}`, verifier })
  }

  #findVerifier (authMessage: string, proof: Buffer): ScramVerifier | undefined {
    let found: ScramVerifier | undefined
    for (const verifier of this.#options.verifiers) {
      const signature = createHmac('sha256', verifier.storedKey).update(authMessage).digest()
      for (let index = 0; index < signature.length; index++) signature[index] = (signature[index] as number) ^ (proof[index] as number)
      const storedKey = createHash('sha256').update(signature).digest()
      if (timingSafeEqual(storedKey, verifier.storedKey)) found = verifier
    }
    return found
  }
}

function fail (reason: string): Result<never, TanagerusherError> {
  return err(TanagerusherError.create('protocol-violation', { details: { reason } }))
}
