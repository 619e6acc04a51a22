import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'
import type { StatementComment } from './statement-comment.js'

const MAXIMUM_COMMENT_LENGTH = 8192
const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200
const MAXIMUM_SESSION_LENGTH = 4096
const TRACEPARENT = /^[\da-f]{2}-[\da-f]{32}-[\da-f]{16}-[\da-f]{2}$/
const EMPTY_COMMENT: StatementComment = {}

/**
 * Reads the sqlcommenter comment at the end of a statement: `/*key='value',key='value'*\/`, values URL-encoded. Other
 * comments are ignored. A traceparent that is malformed is dropped, because it only affects tracing; an
 * idempotency key or session token that cannot be honoured is an error, because dropping it would weaken a guarantee.
 */
export function parseStatementComment (text: string): Result<StatementComment, TanagerusherError> {
  const comment = findLastComment(text)
  if (comment === undefined) return ok(EMPTY_COMMENT)
  if (comment.length > MAXIMUM_COMMENT_LENGTH) return /idempotency_key|session/.test(comment) ? fail('(all)', MAXIMUM_COMMENT_LENGTH) : ok(EMPTY_COMMENT)
  const parsed: StatementComment = {}
  for (const match of comment.matchAll(/(?:^|,)\s*(traceparent|idempotency_key|session)\s*=\s*'((?:\\'|[^'])*)'/g)) {
    const value = decodeValue(match[2] as string)
    if (match[1] === 'traceparent') {
      if (value !== undefined && TRACEPARENT.test(value)) parsed.traceparent = value
    } else if (match[1] === 'idempotency_key') {
      if (!isUsable(value, MAXIMUM_IDEMPOTENCY_KEY_LENGTH)) return fail('idempotency_key', MAXIMUM_IDEMPOTENCY_KEY_LENGTH)
      parsed.idempotencyKey = value
    } else {
      if (!isUsable(value, MAXIMUM_SESSION_LENGTH)) return fail('session', MAXIMUM_SESSION_LENGTH)
      parsed.session = value
    }
  }
  return ok(parsed)
}

/** Text of the comment that ends the statement. Only blanks and a semicolon may follow it. */
function findLastComment (text: string): string | undefined {
  let end = text.length
  while (end > 0 && isBlank(text.charCodeAt(end - 1))) end--
  if (end < 4 || text[end - 1] !== '/' || text[end - 2] !== '*') return undefined
  const start = text.lastIndexOf('/*', end - 3)
  if (start === -1) return undefined
  return text.slice(start + 2, end - 2)
}

function isBlank (code: number): boolean {
  return code === 0x20 || (code >= 0x09 && code <= 0x0d) || code === 0x3b
}

function decodeValue (value: string): string | undefined {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"))
  } catch {
    return undefined
  }
}

function isUsable (value: string | undefined, limit: number): value is string {
  return value !== undefined && value.length > 0 && value.length <= limit
}

function fail (field: string, limit: number): Result<never, TanagerusherError> {
  const reason = `comment field ${field} must be URL-encoded and hold 1 to ${limit} characters`
  return err(TanagerusherError.create('protocol-violation', { details: { reason } }))
}
