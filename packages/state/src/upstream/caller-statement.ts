import type { StatementAccess } from './upstream-command.js'

/** A caller's statement after parsing. `text` is sent to the database unchanged. */
export type CallerStatement =
  | { type: 'begin', isReadOnly: boolean }
  | { type: 'commit' }
  | { type: 'rollback' }
  | { type: 'run', access: StatementAccess, text: string }
  | { type: 'execute', name: string, text: string }
  | { type: 'set', name: string, value: string }
  | { type: 'prepare', name: string, access: StatementAccess, shape: string }
  | { type: 'deallocate', name: string }
  | { type: 'malformed' }
