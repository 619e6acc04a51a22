/** Commands that leave nothing behind in the session once the transaction has ended. */
const CLEAN_COMMANDS = new Set(['SELECT', 'INSERT', 'UPDATE', 'DELETE', 'MERGE', 'BEGIN', 'START', 'COMMIT', 'ROLLBACK', 'SAVEPOINT', 'RELEASE', 'SHOW', 'EXPLAIN', 'VALUES'])

/** Functions and table kinds that outlive a transaction but do not show in the command tag. */
const STATE_WORDS = /set_config|pg_advisory|pg_try_advisory|dblink|\btemp(orary)?\b|setseed|set\s+session/i

interface Work {
  frames: Uint8Array
  statements: ReadonlyArray<{ parse: Uint8Array }>
}

interface Answer {
  /** Command tags of the answer. */
  tags: readonly string[]
  /** The upstream reported a changed setting. */
  hasParameterStatus: boolean
}

/** Whether the connection must be reset before another session uses it. Errs on the side of a reset. */
export function mayLeaveState ({ frames, statements }: Work, { tags, hasParameterStatus }: Answer): boolean {
  if (hasParameterStatus || tags.some((tag) => !CLEAN_COMMANDS.has(tag.split(' ', 1)[0] as string))) return true
  return STATE_WORDS.test(readText(frames)) || statements.some(({ parse }) => STATE_WORDS.test(readText(parse)))
}

function readText (bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1')
}
