import { createHmac, randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import { TLSSocket, type SecureContext } from 'node:tls'
import { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { backendMessages } from '@tanagerusher/protocol/postgres/backend-messages'
import { FrameReader } from '@tanagerusher/protocol/postgres/frame-reader'
import { frontendTypes } from '@tanagerusher/protocol/postgres/frontend-types'
import { parseSaslInitialResponse } from '@tanagerusher/protocol/postgres/parse-sasl-initial-response'
import { parseStartup, type Startup } from '@tanagerusher/protocol/postgres/parse-startup'
import { ScramServer } from '@tanagerusher/protocol/postgres/scram-server'
import type { ScramVerifier } from '@tanagerusher/protocol/postgres/scram-verifier'
import { CallerSessionTask } from '../session/caller-session-task.js'
import type { SessionServices } from '../session/session-services.js'
import type { FailureDelayQueue } from './failure-delay-queue.js'

interface CreateOptions {
  socket: Socket
  services: SessionServices
  failureDelayQueue: FailureDelayQueue
  /** Returns the TLS context for callers that request TLS, or undefined when TLS is off. */
  findSecureContext: () => SecureContext | undefined
  handleCancel: (processId: number, secret: number) => Promise<void>
  isShuttingDown: () => boolean
}

type SessionStartup = Extract<Startup, { type: 'session' }>
type Step = 'startup' | 'first' | 'final' | 'done'

const MECHANISM = 'SCRAM-SHA-256'
const TOKEN_OPTION = 'tanagerusher.session'
const NEWEST_MINOR_VERSION = 0
const FAKE_SALT_BYTES = 16
const DEFAULT_ITERATIONS = 4096
const NONCE_BYTES = 18
const HEADER_BYTES = 5
const END_TIMEOUT_MS = 5000
// Parameters that drivers rely on. The upstreams run with the same values.
const SERVER_PARAMETERS: ReadonlyArray<readonly [string, string]> = [
  ['server_version', '16.0'], ['server_encoding', 'UTF8'], ['client_encoding', 'UTF8'], ['DateStyle', 'ISO, MDY'],
  ['integer_datetimes', 'on'], ['standard_conforming_strings', 'on'], ['TimeZone', 'UTC']
]

/** Log-in of one caller. Owns the socket until the session takes it over. */
export class LogInTask {
  readonly beganAt: number
  readonly #options: CreateOptions
  #socket: Socket
  #reader: FrameReader
  #step: Step = 'startup'
  #startup: SessionStartup | undefined
  #scram: ScramServer | undefined
  #isEncrypted = false
  #handleDone: () => void = () => {}
  readonly #receive = (bytes: Buffer): void => { this.#handleBytes(bytes) }

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#socket = options.socket
    this.#reader = this.#createReader()
    this.beganAt = options.services.clock.readTime()
  }

  static create (options: CreateOptions): LogInTask {
    return new LogInTask(options)
  }

  /** Starts the log-in. `handleDone` is called when the log-in has succeeded or the connection has closed. */
  start (handleDone: () => void): void {
    this.#handleDone = handleDone
    this.#socket.on('error', () => { this.#socket.destroy() })
    this.#socket.once('close', handleDone)
    this.#socket.on('data', this.#receive)
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #createReader (): FrameReader {
    return FrameReader.create({ maximumMessageBytes: this.#options.services.settings.limits.maximumMessageBytes })
  }

  #handleBytes (bytes: Buffer): void {
    this.#reader.push(bytes)
    try {
      while (this.#step === 'startup') {
        const body = this.#reader.readStartup()
        if (body === undefined) return
        const startup = parseStartup(body)
        if (startup.isErr()) throw startup.error
        this.#handleStartup(startup.value)
      }
      while (this.#step === 'first' || this.#step === 'final') {
        const frame = this.#reader.read()
        if (frame === undefined) return
        if (frame.type === frontendTypes.terminate) {
          this.destroy()
          return
        }
        if (frame.type !== frontendTypes.password) throw createViolation('an authentication message was expected')
        if (this.#step === 'first') this.#handleClientFirst(frame.bytes)
        else this.#handleClientFinal(frame.bytes)
      }
    } catch (error) {
      this.#fail(error as TanagerusherError)
    }
  }

  #handleStartup (startup: Startup): void {
    if (startup.type === 'cancel') {
      this.#step = 'done'
      this.#options.handleCancel(startup.processId, startup.secret).finally(() => { this.#socket.end() })
    } else if (startup.type === 'gss') {
      this.#socket.write('N')
    } else if (startup.type === 'tls') {
      this.#handleTlsRequest()
    } else {
      this.#startAuthentication(startup)
    }
  }

  #handleTlsRequest (): void {
    const secureContext = this.#isEncrypted ? undefined : this.#options.findSecureContext()
    if (secureContext === undefined) {
      this.#socket.write('N')
      return
    }
    // Plaintext bytes after the TLS request may have been injected by an attacker on the path.
    if (this.#reader.bufferedBytes > 0) throw createViolation('data came before the TLS handshake')
    const socket = this.#socket
    socket.off('data', this.#receive)
    socket.write('S')
    const encrypted = new TLSSocket(socket, { isServer: true, secureContext })
    encrypted.on('error', () => { encrypted.destroy() })
    encrypted.on('data', this.#receive)
    encrypted.once('close', () => { socket.destroy() })
    this.#socket = encrypted
    this.#reader = this.#createReader()
    this.#isEncrypted = true
  }

  #startAuthentication (startup: SessionStartup): void {
    if (this.#options.services.settings.callerTls?.required === true && !this.#isEncrypted) throw createViolation('TLS is required')
    if (this.#options.isShuttingDown()) throw TanagerusherError.create('shutting-down')
    this.#startup = startup
    const unknownOptions = [...startup.parameters.keys()].filter((name) => name.startsWith('_pq_.'))
    if (startup.minorVersion > NEWEST_MINOR_VERSION || unknownOptions.length > 0) {
      this.#socket.write(backendMessages.encodeNegotiateProtocolVersion(NEWEST_MINOR_VERSION, unknownOptions))
    }
    this.#scram = this.#createScram(startup.parameters.get('user') ?? '')
    this.#socket.write(backendMessages.encodeSaslMechanisms([MECHANISM]))
    this.#step = 'first'
  }

  /** An organisation without keys gets a constant salt derived from its name, so that callers cannot tell whether it exists. */
  #createScram (organisation: string): ScramServer {
    const { configuration, settings } = this.#options.services
    const keys = configuration.keys.listKeys(organisation)
    const secret = (settings.sessionKeys[0] as { secret: string }).secret
    const fakeSalt = createHmac('sha256', secret).update(`salt of ${organisation}`).digest().subarray(0, FAKE_SALT_BYTES)
    const verifiers: ScramVerifier[] = keys.map(({ name, generation, storedKey, serverKey }) => ({
      name, generation, storedKey: Buffer.from(storedKey, 'base64'), serverKey: Buffer.from(serverKey, 'base64')
    }))
    return ScramServer.create({
      salt: keys[0] === undefined ? fakeSalt : Buffer.from(keys[0].salt, 'base64'),
      iterations: keys[0]?.iterations ?? DEFAULT_ITERATIONS,
      verifiers,
      nonce: randomBytes(NONCE_BYTES).toString('base64')
    })
  }

  #handleClientFirst (bytes: Buffer): void {
    const message = parseSaslInitialResponse(bytes)
    if (message.isErr()) throw message.error
    if (message.value.mechanism !== MECHANISM) throw createViolation('the SASL mechanism is not offered')
    const response = (this.#scram as ScramServer).handleClientFirst(message.value.data)
    if (response.isErr()) throw response.error
    this.#socket.write(backendMessages.encodeSaslContinue(response.value))
    this.#step = 'final'
  }

  #handleClientFinal (bytes: Buffer): void {
    const verified = (this.#scram as ScramServer).handleClientFinal(bytes.toString('utf8', HEADER_BYTES))
    this.#scram = undefined
    if (verified.isErr()) throw verified.error
    const organisation = this.#startup?.parameters.get('user') ?? ''
    if (verified.value === undefined) {
      this.#delayFailure(TanagerusherError.create('authentication-failed', { details: { organisation } }))
      return
    }
    const { verifier, serverFinal } = verified.value
    this.#startSession(organisation, verifier, backendMessages.encodeSaslFinal(serverFinal))
  }

  #startSession (organisation: string, { name, generation }: ScramVerifier, serverFinal: Buffer): void {
    const { services } = this.#options
    const { parameters } = this.#startup as SessionStartup
    const entryName = parameters.get('database') ?? organisation
    const decision = services.configuration.keys.check({ organisation, keyName: name, generation, entryName })
    if (decision !== 'allowed') throw TanagerusherError.create(decision, { details: { organisation, entry: entryName } })
    this.#checkServing()
    const floor = this.#createFloor(organisation)
    const identity = services.registry.createIdentity()
    if (identity === undefined || services.registry.size >= services.settings.limits.maximumCallers) {
      throw TanagerusherError.create('overloaded', { details: { reason: 'too many callers' } })
    }
    const session = CallerSessionTask.create({
      socket: this.#socket,
      reader: this.#reader,
      identity: { organisation, keyName: name, generation },
      entryName,
      group: services.configuration.entries.get(entryName)?.group ?? '',
      beganAt: this.beganAt,
      floor,
      services,
      ...identity
    })
    this.#step = 'done'
    services.metrics.recordLogIn('accepted')
    this.#socket.off('data', this.#receive)
    this.#handleDone()
    session.start(Buffer.concat([serverFinal, buildStartupMessages(identity)]))
  }

  #checkServing (): void {
    const { services } = this.#options
    if (this.#options.isShuttingDown()) throw TanagerusherError.create('shutting-down')
    const stale = services.findStalenessError()
    if (stale !== undefined) throw stale
  }

  #createFloor (organisation: string): SessionFloor {
    const token = this.#startup?.options.get(TOKEN_OPTION) ?? this.#startup?.parameters.get(TOKEN_OPTION)
    if (token === undefined) return SessionFloor.create()
    const payload = this.#options.services.tokens.check(token, organisation)
    if (payload.isErr()) throw payload.error
    return SessionFloor.create({ floors: payload.value.floors })
  }

  /** Delays the response to slow down guessing. Every log-in is checked, so a valid key is always accepted. */
  #delayFailure (error: TanagerusherError): void {
    this.#step = 'done'
    this.#options.services.metrics.recordLogIn(error.kind)
    if (!this.#options.failureDelayQueue.add(() => { this.#sendFatalError(error) })) this.destroy()
  }

  #fail (error: TanagerusherError): void {
    if (this.#step === 'done') return
    this.#step = 'done'
    this.#options.services.metrics.recordLogIn(error.kind)
    this.#sendFatalError(error)
  }

  #sendFatalError (error: TanagerusherError): void {
    this.#socket.end(backendMessages.encodeError(error, 'FATAL'))
    setTimeout(() => { this.#socket.destroy() }, END_TIMEOUT_MS).unref()
  }
}

function buildStartupMessages ({ processId, secret }: { processId: number, secret: number }): Buffer {
  return Buffer.concat([
    backendMessages.encodeAuthenticationOk(),
    ...SERVER_PARAMETERS.map(([name, value]) => backendMessages.encodeParameterStatus(name, value)),
    backendMessages.encodeBackendKeyData(processId, secret)
  ])
}

function createViolation (reason: string): TanagerusherError {
  return TanagerusherError.create('protocol-violation', { details: { reason } })
}
