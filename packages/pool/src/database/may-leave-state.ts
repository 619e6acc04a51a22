/** Commands that leave no state in the session after the transaction has ended. */
const STATELESS_COMMANDS = new Set(['SELECT', 'INSERT', 'UPDATE', 'DELETE', 'MERGE', 'BEGIN', 'START', 'COMMIT', 'ROLLBACK', 'SAVEPOINT', 'RELEASE', 'SHOW', 'EXPLAIN', 'VALUES'])

/** Matches functions and kinds of table whose effect outlives a transaction and does not show in the command tag. */
const SESSION_STATE_PATTERN = /set_config|pg_advisory|pg_try_advisory|dblink|\btemp(orary)?\b|setseed|set\s+session/i

interface Work {
  frames: Uint8Array
  statements: ReadonlyArray<{ parse: Uint8Array }>
}

interface ResponseSummary {
  /** Command tags of the response. */
  tags: readonly string[]
  /** Whether the upstream reported a changed setting. */
  hasParameterStatus: boolean
}

/** Whether the connection must be reset before another session uses it. Returns true when in doubt. */
export function mayLeaveState ({ frames, statements }: Work, { tags, hasParameterStatus }: ResponseSummary): boolean {
  if (hasParameterStatus || tags.some((tag) => !STATELESS_COMMANDS.has(tag.split(' ', 1)[0] as string))) return true
  return SESSION_STATE_PATTERN.test(readText(frames)) || statements.some(({ parse }) => SESSION_STATE_PATTERN.test(readText(parse)))
}

function readText (bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1')
}
