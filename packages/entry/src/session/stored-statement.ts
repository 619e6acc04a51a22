import { createHash } from 'node:crypto'
import { classifyStatement } from '@tanagerusher/protocol/postgres/classify-statement'
import type { StatementClass } from '@tanagerusher/protocol/postgres/statement-class'
import { parseStatementComment } from '@tanagerusher/protocol/postgres/parse-statement-comment'
import type { StatementComment } from '@tanagerusher/protocol/postgres/statement-comment'

interface CreateOptions {
  name: string
  text: string
  /** The caller's Parse message. */
  frame: Buffer
}

const HEADER_BYTES = 5
const NAME_HASH_BYTES = 16

/** Prepared statement of a session. */
export class StoredStatement {
  readonly statementClass: StatementClass
  readonly comment: StatementComment
  /** Text and parameter types of the Parse message; a copy, because the frame is a view of a receive buffer. */
  readonly #body: Buffer
  #upstreamName: string | undefined
  #parse: Buffer | undefined

  private constructor (body: Buffer, statementClass: StatementClass, comment: StatementComment) {
    this.#body = body
    this.statementClass = statementClass
    this.comment = comment
  }

  /** @throws TanagerusherError when the idempotency key or session token in the statement comment is invalid */
  static create ({ name, text, frame }: CreateOptions): StoredStatement {
    const comment = parseStatementComment(text)
    if (comment.isErr()) throw comment.error
    const body = Buffer.from(frame.subarray(HEADER_BYTES + Buffer.byteLength(name) + 1))
    return new StoredStatement(body, classifyStatement(text), comment.value)
  }

  /**
   * Name at the upstream, derived from text and parameter types. Upstream connections are shared: the callers' own names
   * would collide there, while sessions with the same statement can share one prepared statement.
   */
  get upstreamName (): string {
    this.#upstreamName ??= `t_${createHash('sha256').update(this.#body).digest('hex').slice(0, 2 * NAME_HASH_BYTES)}`
    return this.#upstreamName
  }

  /** Parse message with the upstream name. */
  get parse (): Buffer {
    this.#parse ??= buildParse(this.upstreamName, this.#body)
    return this.#parse
  }
}

function buildParse (name: string, body: Buffer): Buffer {
  const nameBytes = Buffer.byteLength(name) + 1
  const parse = Buffer.allocUnsafe(HEADER_BYTES + nameBytes + body.length)
  parse.write('P', 0, 'latin1')
  parse.writeUInt32BE(parse.length - 1, 1)
  parse.write(`${name}\0`, HEADER_BYTES, 'latin1')
  body.copy(parse, HEADER_BYTES + nameBytes)
  return parse
}
