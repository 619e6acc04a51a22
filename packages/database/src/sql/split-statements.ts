import type { StatementText } from './statement-text.js'

// Matches a comment, dollar quote, string, quoted identifier, parameter, number, word, or any other character.
const TOKEN = /--[^\n]*|\/\*|\$(\w*)\$|'(?:[^']|'')*'|"(?:[^"]|"")*"|\$\d+|(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?|[A-Za-z_]\w*|\s+|./gys

// Strings after these words are not extracted: E'...' contains escapes, and DATE '...' depends on the type before it.
const STRING_PREFIXES = new Set(['e', 'b', 'x', 'u', 'date', 'time', 'timestamp', 'timestamptz', 'interval'])

/**
 * Splits a query text at its semicolons. Literals are replaced by parameters so that parsed statements can be cached, because
 * parsing costs more than running a simple statement. Comments are dropped because they vary with every request (sqlcommenter).
 */
export function splitStatements (query: string): StatementText[] {
  const statements: StatementText[] = []
  let builder = StatementBuilder.create()
  const finishStatement = (): void => {
    const statement = builder.build()
    if (statement !== undefined) statements.push(statement)
    builder = StatementBuilder.create()
  }
  TOKEN.lastIndex = 0
  for (let match = TOKEN.exec(query); match !== null; match = TOKEN.exec(query)) {
    const token = match[0]
    if (token.startsWith('--')) continue
    if (token === '/*') TOKEN.lastIndex = findCommentEnd(query, TOKEN.lastIndex)
    else if (token === ';') finishStatement()
    else if (match[1] !== undefined) builder.add(readDollarQuote(query, token, TOKEN))
    else builder.add(token)
  }
  finishStatement()
  return statements
}

class StatementBuilder {
  #parts: Array<string | { literal: string | number, text: string }> = []
  #parameterCount = 0
  #extractsNumbers = true
  #extractsStrings = true

  static create (): StatementBuilder {
    return new StatementBuilder()
  }

  add (token: string): void {
    const first = token.charCodeAt(0)
    if (first === 39) this.#addString(token)
    else if ((first >= 48 && first <= 57) || (first === 46 && token.length > 1)) this.#addNumber(token)
    else this.#addOther(token)
  }

  build (): StatementText | undefined {
    let text = ''
    let template = ''
    const literals: Array<string | number> = []
    for (const part of this.#parts) {
      if (typeof part === 'string') {
        text += part
        template += part
      } else {
        literals.push(part.literal)
        text += part.text
        template += `$${this.#parameterCount + literals.length}`
      }
    }
    text = text.trim()
    if (text === '') return undefined
    return { text, template: template.trim(), parameterCount: this.#parameterCount, literals }
  }

  #addString (token: string): void {
    if (this.#extractsStrings) this.#parts.push({ literal: token.slice(1, -1).replaceAll("''", "'"), text: token })
    else this.#parts.push(token)
    this.#extractsStrings = true
  }

  #addNumber (token: string): void {
    if (this.#extractsNumbers) this.#parts.push({ literal: Number(token), text: token })
    else this.#parts.push(token)
  }

  #addOther (token: string): void {
    this.#parts.push(token)
    const first = token.charCodeAt(0)
    if (first === 36) this.#parameterCount = Math.max(this.#parameterCount, Number(token.slice(1)) || 0)
    else if (first === 41) this.#extractsNumbers = true
    else if (first >= 65 && first <= 122) this.#handleWord(token.toLowerCase())
  }

  #handleWord (word: string): void {
    // Numbers after ORDER BY and GROUP BY are column positions, not values.
    if (word === 'by') this.#extractsNumbers = false
    else if (word === 'limit' || word === 'offset') this.#extractsNumbers = true
    this.#extractsStrings = !STRING_PREFIXES.has(word)
  }
}

function findCommentEnd (query: string, start: number): number {
  let depth = 1
  let index = start
  while (index < query.length && depth > 0) {
    const pair = query.slice(index, index + 2)
    if (pair === '*/') depth--
    if (pair === '/*') depth++
    index += pair === '*/' || pair === '/*' ? 2 : 1
  }
  return index
}

function readDollarQuote (query: string, tag: string, token: RegExp): string {
  const start = token.lastIndex
  const end = query.indexOf(tag, start)
  const stop = end < 0 ? query.length : end
  token.lastIndex = Math.min(query.length, stop + tag.length)
  return `'${query.slice(start, stop).replaceAll("'", "''")}'`
}
