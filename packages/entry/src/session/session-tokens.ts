import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto'
import { sessionToken } from '@tanagerusher/coordination/session/session-token'
import type { SessionTokenPayload } from '@tanagerusher/coordination/session/session-token-payload'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'

interface TokenKey {
  id: string
  secret: string
}

interface PreparedKey {
  id: string
  key: KeyObject
}

interface CreateOptions {
  /** The first key signs; all are accepted, so that keys can be rotated without invalidating tokens. */
  keys: readonly TokenKey[]
}

/** Signs and checks session tokens: `payload.keyId.mac`, payload and HMAC-SHA256 in base64url. */
export class SessionTokens {
  readonly #signingKey: PreparedKey
  readonly #keys: Map<string, PreparedKey>

  private constructor ({ keys }: CreateOptions) {
    const prepared = keys.map(({ id, secret }) => ({ id, key: createSecretKey(secret, 'utf8') }))
    this.#signingKey = prepared[0] as PreparedKey
    this.#keys = new Map(prepared.map((key) => [key.id, key]))
  }

  static create (options: CreateOptions): SessionTokens {
    return new SessionTokens(options)
  }

  build (payload: SessionTokenPayload): string {
    const text = Buffer.from(sessionToken.encode(payload)).toString('base64url')
    return `${text}.${this.#signingKey.id}.${computeMac(this.#signingKey, text).toString('base64url')}`
  }

  /** Checks the token's authenticity and that it belongs to `organisation`. */
  check (token: string, organisation: string): Result<SessionTokenPayload, TanagerusherError> {
    const [text, keyId, mac, ...rest] = token.split('.')
    const key = this.#keys.get(keyId ?? '')
    if (text === undefined || mac === undefined || rest.length > 0 || key === undefined) return fail('malformed or signed with an unknown key')
    // Compared as text: a base64 decoder skips characters outside its alphabet, so several texts decode to the same MAC.
    const expected = Buffer.from(computeMac(key, text).toString('base64url'))
    const found = Buffer.from(mac)
    if (found.length !== expected.length || !timingSafeEqual(found, expected)) return fail('not authentic')
    const payload = sessionToken.decode(Buffer.from(text, 'base64url').toString('utf8'))
    if (payload.isErr()) return fail(payload.error)
    return payload.value.organisation === organisation ? ok(payload.value) : fail('issued for another organisation')
  }
}

function computeMac ({ id, key }: PreparedKey, text: string): Buffer {
  return createHmac('sha256', key).update(`${id}.${text}`).digest()
}

function fail (reason: string): Result<never, TanagerusherError> {
  return err(TanagerusherError.create('session-token-invalid', { details: { reason } }))
}
