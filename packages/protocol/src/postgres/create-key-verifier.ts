import { createHash, createHmac, pbkdf2Sync } from 'node:crypto'
import type { Key } from '@tanagerusher/state/configuration/key'

interface CreateKeyVerifierOptions {
  /** The caller's key as it was issued: printable ASCII, so that no SASLprep mapping applies. */
  key: string
  /** Base64. All keys of an organisation share one salt and iteration count; see `ScramServer`. */
  salt: string
  iterations?: number
}

type KeyVerifier = Pick<Key, 'salt' | 'iterations' | 'storedKey' | 'serverKey'>

const DEFAULT_ITERATIONS = 4096
const HASH_BYTES = 32

/** Builds the SCRAM-SHA-256 verifier (RFC 5802, RFC 7677) of a key. The key cannot be computed from it. */
export function createKeyVerifier ({ key, salt, iterations = DEFAULT_ITERATIONS }: CreateKeyVerifierOptions): KeyVerifier {
  const saltedPassword = pbkdf2Sync(key, Buffer.from(salt, 'base64'), iterations, HASH_BYTES, 'sha256')
  const clientKey = createHmac('sha256', saltedPassword).update('Client Key').digest()
  return {
    salt,
    iterations,
    storedKey: createHash('sha256').update(clientKey).digest('base64'),
    serverKey: createHmac('sha256', saltedPassword).update('Server Key').digest('base64')
  }
}
