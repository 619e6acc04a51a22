import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'

/** What a caller is told when its database or key is refused. */
export interface CallerRefusal { failure: StatementFailure, text: string }
