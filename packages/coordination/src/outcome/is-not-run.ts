import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'

/** Failures with which a database states that it has not run the statement. */
const NOT_RUN_FAILURES: ReadonlySet<StatementFailure> = new Set(['busy', 'unknown-statement', 'lagging', 'not-primary', 'wrong-upstream', 'connection-limit'])

export function isNotRun (failure: StatementFailure): boolean { return NOT_RUN_FAILURES.has(failure) }
