import { parseFirst, type Statement } from 'pgsql-ast-parser'
import { SqlError } from '../ledger/sql-error.js'
import { parseSessionCommand } from './parse-session-command.js'
import type { ParsedStatement } from './parsed-statement.js'
import { splitStatements } from './split-statements.js'
import type { StatementText } from './statement-text.js'
import type { StatementInstance } from './statement-instance.js'

const CACHE_LIMIT = 5000
const TEMPLATE_COMMANDS = /^(?:select|insert|update|delete)\b/i
const SESSION_COMMANDS = /^(?:begin|start|commit|end|rollback|abort|set|reset|show|discard|deallocate)\b/i

/** Parses query texts and keeps what it parsed, up to a limit. */
export class StatementParser {
  readonly #cache = new Map<string, ParsedStatement | null>()
  /** Whole texts without literals and comments, as drivers and the proxy repeat them. */
  readonly #texts = new Map<string, StatementInstance[]>()

  static create (): StatementParser {
    return new StatementParser()
  }

  /** @throws SqlError 42601 when a statement cannot be parsed. */
  parse (query: string): StatementInstance[] {
    const known = this.#texts.get(query)
    if (known !== undefined) return known
    const instances = splitStatements(query).map((text) => this.#parseOne(text))
    if (instances.length === 1 && instances[0]?.cacheKey === query) {
      if (this.#texts.size >= CACHE_LIMIT) this.#texts.delete(this.#texts.keys().next().value as string)
      this.#texts.set(query, instances)
    }
    return instances
  }

  #parseOne (statement: StatementText): StatementInstance {
    const { text, template, parameterCount, literals } = statement
    if (TEMPLATE_COMMANDS.test(text) && literals.length > 0) {
      const key = `${template}\0${literals.map((literal) => typeof literal === 'string' ? 's' : Number.isInteger(literal) ? 'i' : 'n').join('')}`
      const parsed = this.#readCache(key, () => parseOrNull(template))
      if (parsed !== null) return { parsed, parameterCount, literals, cacheKey: key }
    }
    const parsed = this.#readCache(text, () => parseText(text)) as ParsedStatement
    return { parsed, parameterCount, literals: [], cacheKey: text }
  }

  #readCache (key: string, parse: () => ParsedStatement | null): ParsedStatement | null {
    const known = this.#cache.get(key)
    if (known !== undefined) return known
    const parsed = parse()
    if (this.#cache.size >= CACHE_LIMIT) this.#cache.delete(this.#cache.keys().next().value as string)
    this.#cache.set(key, parsed)
    return parsed
  }
}

function parseOrNull (text: string): ParsedStatement | null {
  try {
    return { kind: 'sql', statement: parseFirst(text) }
  } catch {
    return null
  }
}

function parseText (text: string): ParsedStatement {
  const command = SESSION_COMMANDS.test(text) ? parseSessionCommand(text) : undefined
  if (command !== undefined) return { kind: 'session', command }
  try {
    return { kind: 'sql', statement: parseFirst(text) as Statement }
  } catch (cause) {
    throw SqlError.create('42601', `syntax error: ${String((cause as Error).message).split('\n')[0] ?? ''}`)
  }
}
