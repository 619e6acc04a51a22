/** Number of kinds of statements (3 accesses times 4 priorities); service times are compared only within a kind. */
export const STATEMENT_KINDS = 12
