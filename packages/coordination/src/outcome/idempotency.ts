import { createHash } from 'node:crypto'
import type { IdempotencyRecord } from './idempotency-record.js'

export type IdempotencyDecision =
  | { type: 'run' }
  /** The work has committed; its recorded response is sent again. */
  | { type: 'answer', response: Uint8Array }
  /** The explicit transaction has committed. */
  | { type: 'already-run' }
  /** The key was used for different work. */
  | { type: 'conflict' }

interface DecideOptions {
  record: IdempotencyRecord | undefined
  digest: string
  isTransaction: boolean
}

interface DigestOptions {
  organisation: string
  entryName: string
  isTransaction: boolean
  frames: Uint8Array
  /** Parse messages of the named statements that `frames` use. */
  statements: ReadonlyArray<{ parse: Uint8Array }>
}

/** Larger responses are not recorded, because the row must stay small compared with the work itself. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1024

/** Decides whether work with an idempotency key runs, from the record that is stored under that key. */
export class Idempotency {
  static readonly maximumResponseBytes = MAXIMUM_RESPONSE_BYTES

  static create (): Idempotency {
    return new Idempotency()
  }

  /**
   * Computes a digest of statement texts and parameters, which is equal for two requests with the same work. An explicit
   * transaction is identified by its key alone, because its statements are not known when it begins. The digest leaves out
   * comments, which hold session tokens and trace contexts, and the statement names that drivers choose: both differ between
   * repeats of the same work.
   */
  computeDigest ({ organisation, entryName, isTransaction, frames, statements }: DigestOptions): string {
    const hash = createHash('sha256').update(`${organisation}\0${entryName}\0${isTransaction ? 'transaction' : 'statement'}\0`)
    if (!isTransaction) for (const bytes of [...statements.map(({ parse }) => parse), frames]) hash.update(extractWork(bytes))
    return hash.digest('hex')
  }

  decide ({ record, digest, isTransaction }: DecideOptions): IdempotencyDecision {
    if (record === undefined) return { type: 'run' }
    if (record.digest !== digest) return { type: 'conflict' }
    if (isTransaction || record.response === null) return { type: 'already-run' }
    return { type: 'answer', response: record.response }
  }
}

/** Returns the statement texts and parameters of frontend messages, without comments and names of statements and portals. */
function extractWork (bytes: Uint8Array): string {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const parts: string[] = []
  for (let offset = 0; offset + 5 <= buffer.length; offset += 1 + Math.max(4, buffer.readUInt32BE(offset + 1))) {
    const type = String.fromCharCode(buffer[offset] as number)
    const body = buffer.toString('latin1', offset + 5, offset + 1 + buffer.readUInt32BE(offset + 1))
    if (type === 'Q') parts.push(removeComments(body))
    else if (type === 'P') parts.push(removeComments(skipNames(body, 1)))
    else if (type === 'B') parts.push(skipNames(body, 2))
  }
  return parts.join('\u0001')
}

function skipNames (body: string, names: number): string {
  let start = 0
  for (let name = 0; name < names; name++) start = body.indexOf('\0', start) + 1
  return body.slice(start)
}

function removeComments (text: string): string {
  return text.replace(/\/\*[^]*?\*\//g, '').replace(/\s+(?=\0)/g, '')
}
