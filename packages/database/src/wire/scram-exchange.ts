import { createHash, createHmac, pbkdf2Sync, randomBytes, timingSafeEqual } from 'node:crypto'

interface CreateOptions {
  password: string
  iterations?: number
}

const DEFAULT_ITERATIONS = 4096

/** Server side of one SCRAM-SHA-256 authentication (RFC 5802, RFC 7677) without channel binding. */
export class ScramExchange {
  readonly #password: string
  readonly #iterations: number
  readonly #salt = randomBytes(16)
  #clientFirst = ''
  #serverFirst = ''
  #nonce = ''

  private constructor ({ password, iterations = DEFAULT_ITERATIONS }: CreateOptions) {
    this.#password = password
    this.#iterations = iterations
  }

  static create (options: CreateOptions): ScramExchange {
    return new ScramExchange(options)
  }

  /** Returns the response to the client-first message; undefined when that message is malformed. */
  start (message: string): string | undefined {
    const match = /^[ny],[^,]*,(.*,?r=([^,]+).*)$/.exec(message)
    if (match === null) return undefined
    this.#clientFirst = match[1] as string
    this.#nonce = (match[2] as string) + randomBytes(18).toString('base64')
    this.#serverFirst = `r=${this.#nonce},s=${this.#salt.toString('base64')},i=${this.#iterations}`
    return this.#serverFirst
  }

  /** Returns the response to the client-final message; undefined when the client proof is wrong. */
  finish (message: string): string | undefined {
    const match = /^(c=[^,]+,r=([^,]+)),p=(.+)$/.exec(message)
    if (match === null || match[2] !== this.#nonce) return undefined
    const authMessage = `${this.#clientFirst},${this.#serverFirst},${match[1] as string}`
    const saltedPassword = pbkdf2Sync(this.#password.normalize('NFKC'), this.#salt, this.#iterations, 32, 'sha256')
    const clientKey = computeHmac(saltedPassword, 'Client Key')
    const storedKey = createHash('sha256').update(clientKey).digest()
    const signature = computeHmac(storedKey, authMessage)
    const proof = Buffer.from(match[3] as string, 'base64')
    const expected = Buffer.from(clientKey.map((byte, index) => byte ^ (signature[index] as number)))
    if (proof.length !== expected.length || !timingSafeEqual(proof, expected)) return undefined
    return `v=${computeHmac(computeHmac(saltedPassword, 'Server Key'), authMessage).toString('base64')}`
  }
}

function computeHmac (key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest()
}
