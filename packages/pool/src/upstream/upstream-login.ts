import { createHash } from 'node:crypto'
import { serialize } from 'pg-protocol'
import sasl from 'pg/lib/crypto/sasl.js'
import { backendMessageTypes } from './backend-message-types.js'
import { readErrorFields } from './read-error-fields.js'
import type { UpstreamAddress } from './upstream-address.js'

interface CreateOptions {
  address: UpstreamAddress
  applicationName: string
  send: (bytes: Uint8Array) => void
  settle: (error?: unknown) => void
}

const LAST_AUTHENTICATION_CODE_BYTE = 8

/** Logs in with the configured credential of the group, not the caller's. Supports trust, clear text, MD5 and SCRAM-SHA-256. */
export class UpstreamLogin {
  readonly #options: CreateOptions
  #saslSession: sasl.Session | undefined

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
    if (type === backendMessageTypes.readyForQuery) this.#options.settle()
    else if (type === backendMessageTypes.error) {
      const { code, text } = readErrorFields(message)
      this.fail(Object.assign(new Error(text), { code }))
    } else if (type === backendMessageTypes.authentication) {
      this.#authenticate(message).catch((error: unknown) => { this.fail(error) })
    }
  }

  async #authenticate (message: Buffer): Promise<void> {
    const { address: { user, password }, send } = this.#options
    const body = message.subarray(LAST_AUTHENTICATION_CODE_BYTE + 1)
    switch (message.readInt32BE(5)) {
      case 0: return
      case 3: return send(serialize.password(password))
      case 5: return send(serialize.password(computeMd5Password(user, password, body)))
      case 10:
        this.#saslSession = sasl.startSession(body.toString('utf8').split('\0').filter(Boolean))
        return send(serialize.sendSASLInitialResponseMessage(this.#saslSession.mechanism, this.#saslSession.response))
      case 11: {
        const session = this.#saslSession as sasl.Session
        await sasl.continueSession(session, password, body.toString('utf8'))
        return send(serialize.sendSCRAMClientFinalMessage(session.response))
      }
      case 12: return sasl.finalizeSession(this.#saslSession as sasl.Session, body.toString('utf8'))
      default: throw new Error('the upstream asks for an authentication method that is not supported')
    }
  }
}

function computeMd5Password (user: string, password: string, salt: Buffer): string {
  const inner = createHash('md5').update(password + user).digest('hex')
  return 'md5' + createHash('md5').update(inner).update(salt).digest('hex')
}
