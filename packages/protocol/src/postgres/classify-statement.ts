import { scanStatementWords, type StatementWords } from './scan-statement-words.js'
import type { StatementClass } from './statement-class.js'

const REFUSED_COMMANDS = new Set(['COPY', 'LISTEN', 'UNLISTEN', 'PREPARE', 'EXECUTE', 'DEALLOCATE', 'DISCARD', 'LOAD', 'RESET'])
// Functions that change the state of the upstream session beyond the transaction.
const REFUSED_FUNCTIONS = new Set(['PG_ADVISORY_LOCK', 'PG_ADVISORY_LOCK_SHARED', 'PG_TRY_ADVISORY_LOCK',
  'PG_TRY_ADVISORY_LOCK_SHARED', 'PG_ADVISORY_UNLOCK', 'PG_ADVISORY_UNLOCK_ALL', 'PG_ADVISORY_UNLOCK_SHARED', 'SET_CONFIG'])
const TRANSACTION_SETTINGS = new Set(['LOCAL', 'TRANSACTION', 'CONSTRAINTS'])
const TEMPORARY = new Set(['TEMP', 'TEMPORARY'])

/** Classifies a statement text by the rules in section 3.4 of the design. */
export function classifyStatement (text: string): StatementClass {
  const statements = scanStatementWords(text)
  const result: StatementClass = {
    access: 'write', count: statements.length, begins: false, isReadOnlyBegin: false, ends: false, commits: false, unsupported: undefined
  }
  for (const words of statements) {
    const command = words[0] ?? ''
    result.unsupported ??= findUnsupported(words, command)
    if (command === 'BEGIN' || command === 'START') result.begins = true
    if (isEnd(words, command)) result.ends = true
    if (command === 'COMMIT' || command === 'END') result.commits = true
  }
  const single = statements.length === 1 ? statements[0] as StatementWords : undefined
  if (single !== undefined && isRead(single)) result.access = 'read'
  if (single !== undefined && result.begins && isReadOnly(single)) {
    result.isReadOnlyBegin = true
    result.access = 'read'
  }
  return result
}

function isRead (words: StatementWords): boolean {
  if (words[0] === 'SHOW') return true
  return words[0] === 'SELECT' && !words.includes('INTO') && !hasLockingClause(words)
}

function hasLockingClause (words: StatementWords): boolean {
  return words.some((word, index) => word === 'FOR' && ['UPDATE', 'SHARE', 'NO', 'KEY'].includes(words[index + 1] ?? ''))
}

function isReadOnly (words: StatementWords): boolean {
  const mode = words.lastIndexOf('READ')
  for (let index = mode; index !== -1; index = index === 0 ? -1 : words.lastIndexOf('READ', index - 1)) {
    if (words[index + 1] === 'ONLY') return true
    if (words[index + 1] === 'WRITE') return false
  }
  return false
}

function isEnd (words: StatementWords, command: string): boolean {
  if (command === 'COMMIT' || command === 'END' || command === 'ABORT') return true
  return command === 'ROLLBACK' && !words.includes('TO')
}

function findUnsupported (words: StatementWords, command: string): string | undefined {
  if (REFUSED_COMMANDS.has(command)) return command
  if (command === 'SET' && !TRANSACTION_SETTINGS.has(words[1] ?? '')) return 'SET of a session setting'
  if ((command === 'COMMIT' || command === 'ROLLBACK') && words[1] === 'PREPARED') return 'Two-phase commit'
  if (command === 'DECLARE' && words.some((word, index) => word === 'WITH' && words[index + 1] === 'HOLD')) return 'A cursor WITH HOLD'
  if (command === 'CREATE' && (TEMPORARY.has(words[1] ?? '') || TEMPORARY.has(words[2] ?? ''))) return 'A temporary object'
  if (words.some((word, index) => word === 'INTO' && TEMPORARY.has(words[index + 1] ?? ''))) return 'A temporary object'
  const called = words.find((word) => REFUSED_FUNCTIONS.has(word))
  return called === undefined ? undefined : `Function ${called.toLowerCase()}`
}
