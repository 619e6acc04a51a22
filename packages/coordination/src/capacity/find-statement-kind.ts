const accesses = ['read', 'write', 'commit'] as const
/** Priorities from this one on share a kind. */
const LAST_PRIORITY = 3

/** Returns the index of the kind of a statement (see `STATEMENT_KINDS`). Its work depends mainly on its access and the priority of its entry. */
export function findStatementKind (access: typeof accesses[number], priority: number): number {
  return accesses.indexOf(access) * (LAST_PRIORITY + 1) + Math.min(Math.max(0, priority), LAST_PRIORITY)
}
