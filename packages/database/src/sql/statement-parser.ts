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

/** Parses query texts and caches the results. Each cache drops its oldest entry above `CACHE_LIMIT` entries, which bounds its memory use. */
export class StatementParser {
  readonly #parsedByKey = new Map<string, ParsedStatement | null>()
  /** Results for whole texts without literals and comments, which drivers and the proxy send repeatedly. */
  readonly #instancesByText = new Map<string, StatementInstance[]>()

  static create (): StatementParser {
    return new StatementParser()
  }

  /** @throws SqlError 42601 when a statement cannot be parsed. */
  parse (query: string): StatementInstance[] {
    const cached = this.#instancesByText.get(query)
    if (cached !== undefined) return cached
    const instances = splitStatements(query).map((text) => this.#parseStatement(text))
    if (instances.length === 1 && instances[0]?.cacheKey === query) {
      if (this.#instancesByText.size >= CACHE_LIMIT) this.#instancesByText.delete(this.#instancesByText.keys().next().value as string)
      this.#instancesByText.set(query, instances)
    }
    return instances
  }

  #parseStatement (statement: StatementText): StatementInstance {
    const { text, template, parameterCount, literals } = statement
    if (TEMPLATE_COMMANDS.test(text) && literals.length > 0) {
      const key = `${template}\0${literals.map((literal) => typeof literal === 'string' ? 's' : Number.isInteger(literal) ? 'i' : 'n').join('')}`
      const parsed = this.#findOrParse(key, () => parseOrNull(template))
      if (parsed !== null) return { parsed, parameterCount, literals, cacheKey: key }
    }
    const parsed = this.#findOrParse(text, () => parseText(text)) as ParsedStatement
    return { parsed, parameterCount, literals: [], cacheKey: text }
  }

  #findOrParse (key: string, parse: () => ParsedStatement | null): ParsedStatement | null {
    const cached = this.#parsedByKey.get(key)
    if (cached !== undefined) return cached
    const parsed = parse()
    if (this.#parsedByKey.size >= CACHE_LIMIT) this.#parsedByKey.delete(this.#parsedByKey.keys().next().value as string)
    this.#parsedByKey.set(key, parsed)
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
