import { createHash } from 'node:crypto'
import { serialize } from 'pg-protocol'
import sasl from 'pg/lib/crypto/sasl.js'
import { backendMessage } from './backend-message.js'
import { readErrorFields } from './read-error-fields.js'
import type { UpstreamAddress } from './upstream-address.js'

interface CreateOptions {
  address: UpstreamAddress
  applicationName: string
  send: (bytes: Uint8Array) => void
  settle: (error?: unknown) => void
}

const MAX_PROTOCOL_FIELD = 8

/** Log-in with the proxy's own credential: trust, clear text, MD5 or SCRAM-SHA-256, as the upstream asks. */
export class UpstreamLogin {
  readonly #options: CreateOptions
  #session: sasl.Session | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): UpstreamLogin {
    return new UpstreamLogin(options)
  }

  start (): void {
    const { address, applicationName, send } = this.#options
    send(serialize.startup({ user: address.user, database: address.databaseName, application_name: applicationName, client_encoding: 'UTF8' }))
  }

  fail (error: unknown): void {
    this.#options.settle(error)
  }

  handleMessage (type: number, message: Buffer): void {
    if (type === backendMessage.readyForQuery) this.#options.settle()
    else if (type === backendMessage.error) {
      const { code, text } = readErrorFields(message)
      this.fail(Object.assign(new Error(text), { code }))
    } else if (type === backendMessage.authentication) {
      this.#authenticate(message).catch((error: unknown) => { this.fail(error) })
    }
  }

  async #authenticate (message: Buffer): Promise<void> {
    const { address: { user, password }, send } = this.#options
    const body = message.subarray(MAX_PROTOCOL_FIELD + 1)
    switch (message.readInt32BE(5)) {
      case 0: return
      case 3: return send(serialize.password(password))
      case 5: return send(serialize.password(computeMd5Answer(user, password, body)))
      case 10:
        this.#session = sasl.startSession(body.toString('utf8').split('\0').filter(Boolean))
        return send(serialize.sendSASLInitialResponseMessage(this.#session.mechanism, this.#session.response))
      case 11: {
        const session = this.#session as sasl.Session
        await sasl.continueSession(session, password, body.toString('utf8'))
        return send(serialize.sendSCRAMClientFinalMessage(session.response))
      }
      case 12: return sasl.finalizeSession(this.#session as sasl.Session, body.toString('utf8'))
      default: throw new Error('the upstream asks for an authentication method that is not supported')
    }
  }
}

function computeMd5Answer (user: string, password: string, salt: Buffer): string {
  const inner = createHash('md5').update(password + user).digest('hex')
  return 'md5' + createHash('md5').update(inner).update(salt).digest('hex')
}
