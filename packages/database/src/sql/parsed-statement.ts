import type { Expr, Statement } from 'pgsql-ast-parser'

/** Commands that concern the session rather than tables; `parseSessionCommand` parses them instead of the SQL parser. */
export type SessionCommand =
  | { type: 'begin', writeable?: 'read write' | 'read only' }
  | { type: 'commit' }
  | { type: 'rollback' }
  | { type: 'set', name: string, value: string | null }
  | { type: 'reset', name: string }
  | { type: 'show', name: string }
  | { type: 'discard' }
  | { type: 'deallocate', name: string | null }
  | { type: 'set transaction', readOnly: boolean }

export type ParsedStatement =
  | { kind: 'session', command: SessionCommand }
  | { kind: 'sql', statement: Statement }

export type SqlExpression = Expr
