import { timingSafeEqual, createHash } from 'node:crypto'
import type { DatabaseSettings } from '../settings/database-settings.js'
import type { BackendWriter } from './backend-writer.js'
import { BodyReader } from './body-reader.js'
import { ScramExchange } from './scram-exchange.js'

type Method = DatabaseSettings['authentication']
export type AuthenticationStep = 'accepted' | 'rejected' | 'waiting'

const OK = 0
const CLEARTEXT_PASSWORD = 3
const SASL = 10
const SASL_CONTINUE = 11
const SASL_FINAL = 12

/** Authentication of one connection with the configured method. */
export class Authentication {
  readonly #method: Method
  readonly #password: string
  readonly #writer: BackendWriter
  #exchange: ScramExchange | undefined

  private constructor (method: Method, password: string, writer: BackendWriter) {
    this.#method = method
    this.#password = password
    this.#writer = writer
  }

  static create (method: Method, password: string, writer: BackendWriter): Authentication {
    return new Authentication(method, password, writer)
  }

  start (): AuthenticationStep {
    if (this.#method === 'trust') return this.#accept()
    if (this.#method === 'password') this.#writer.addAuthentication(CLEARTEXT_PASSWORD)
    else this.#writer.addAuthentication(SASL, Buffer.from('SCRAM-SHA-256\0\0'))
    return 'waiting'
  }

  /** Handles a PasswordMessage or a SASL message. */
  handle (body: Buffer): AuthenticationStep {
    if (this.#method === 'password') return isEqual(BodyReader.create(body).readText(), this.#password) ? this.#accept() : 'rejected'
    return this.#exchange === undefined ? this.#startExchange(body) : this.#finishExchange(this.#exchange, body)
  }

  #startExchange (body: Buffer): AuthenticationStep {
    const reader = BodyReader.create(body)
    if (reader.readText() !== 'SCRAM-SHA-256') return 'rejected'
    this.#exchange = ScramExchange.create({ password: this.#password })
    const response = this.#exchange.start(reader.readBytes(reader.readInt32()).toString())
    if (response === undefined) return 'rejected'
    this.#writer.addAuthentication(SASL_CONTINUE, Buffer.from(response))
    return 'waiting'
  }

  #finishExchange (exchange: ScramExchange, body: Buffer): AuthenticationStep {
    const response = exchange.finish(body.toString())
    if (response === undefined) return 'rejected'
    this.#writer.addAuthentication(SASL_FINAL, Buffer.from(response))
    return this.#accept()
  }

  #accept (): AuthenticationStep {
    this.#writer.addAuthentication(OK)
    return 'accepted'
  }
}

function isEqual (left: string, right: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(left), digest(right))
}
