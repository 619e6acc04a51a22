/** Words of one statement in upper case, in order. Literals, quoted identifiers and comments are left out. */
export type StatementWords = string[]

/** Splits SQL text at semicolons and returns the bare words of each non-empty statement. Expects standard-conforming strings. */
export function scanStatementWords (text: string): StatementWords[] {
  const statements: StatementWords[] = []
  let words: StatementWords = []
  let isEmpty = true
  let index = 0
  while (index < text.length) {
    const code = text.charCodeAt(index)
    if (isWordStart(code)) {
      const end = findWordEnd(text, index)
      words.push(text.slice(index, end).toUpperCase())
      isEmpty = false
      index = end
      // A literal directly after E uses backslash escapes.
      if (text[index] === "'" && words.at(-1) === 'E') index = skipEscapedLiteral(text, index)
    } else if (code === 0x3b) {
      if (!isEmpty) statements.push(words)
      words = []
      isEmpty = true
      index++
    } else {
      const next = skipToken(text, index, code)
      if (!isBlankOrComment(text, index, code)) isEmpty = false
      index = next
    }
  }
  if (!isEmpty) statements.push(words)
  return statements
}

function isWordStart (code: number): boolean {
  return (code >= 0x61 && code <= 0x7a) || (code >= 0x41 && code <= 0x5a) || code === 0x5f || code >= 0x80
}

function findWordEnd (text: string, start: number): number {
  let end = start + 1
  for (; end < text.length; end++) {
    const code = text.charCodeAt(end)
    if (!isWordStart(code) && !(code >= 0x30 && code <= 0x39) && code !== 0x24) break
  }
  return end
}

function isBlankOrComment (text: string, index: number, code: number): boolean {
  return code === 0x20 || (code >= 0x09 && code <= 0x0d) || text.startsWith('--', index) || text.startsWith('/*', index)
}

function skipToken (text: string, index: number, code: number): number {
  if (code === 0x27) return skipQuoted(text, index, "'")
  if (code === 0x22) return skipQuoted(text, index, '"')
  if (code === 0x2d && text[index + 1] === '-') return findEnd(text, '\n', index + 2)
  if (code === 0x2f && text[index + 1] === '*') return skipBlockComment(text, index)
  if (code === 0x24) return skipDollarQuoted(text, index)
  return index + 1
}

/** A doubled quote inside a literal is read as the end of one literal and the start of the next, which skips the same characters. */
function skipQuoted (text: string, index: number, quote: string): number {
  return findEnd(text, quote, index + 1)
}

function skipEscapedLiteral (text: string, index: number): number {
  for (let end = index + 1; end < text.length; end++) {
    if (text[end] === '\\') end++
    else if (text[end] === "'" && text[end + 1] === "'") end++
    else if (text[end] === "'") return end + 1
  }
  return text.length
}

function skipBlockComment (text: string, index: number): number {
  let depth = 1
  let end = index + 2
  while (end < text.length && depth > 0) {
    if (text.startsWith('/*', end)) {
      depth++
      end += 2
    } else if (text.startsWith('*/', end)) {
      depth--
      end += 2
    } else end++
  }
  return end
}

function skipDollarQuoted (text: string, index: number): number {
  const tag = /^\$(?:[A-Za-z_\u0080-\uffff][\w\u0080-\uffff]*)?\$/.exec(text.slice(index, index + 70))?.[0]
  return tag === undefined ? index + 1 : findEnd(text, tag, index + tag.length)
}

function findEnd (text: string, delimiter: string, from: number): number {
  const found = text.indexOf(delimiter, from)
  return found === -1 ? text.length : found + delimiter.length
}
