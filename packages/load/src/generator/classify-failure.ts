import type { Operation } from '../history/operation.js'

/** Outcome that a caller can conclude from an error of the driver. */
interface Failure {
  outcome: Operation['outcome']
  sqlState?: string
  message: string
}

const OUTCOME_UNKNOWN_STATES = new Set(['08007', 'XX000'])
const ALREADY_COMMITTED_STATE = '25000'
const ALREADY_COMMITTED_HINT = 'Not run again.'

/**
 * Returns the outcome of work that failed with an error of the driver. An error of the server has a SQLSTATE, which says whether
 * the outcome is unknown, the work had already committed or it did not run. An error without a SQLSTATE is a broken
 * connection: the outcome of work that was sent is then unknown.
 */
export function classifyFailure (error: unknown, wasSent: boolean): Failure {
  const { code, hint, message } = error as { code?: string, hint?: string, message?: string }
  const text = message ?? String(error)
  if (code === undefined || !/^[0-9A-Z]{5}$/.test(code)) return { outcome: wasSent ? 'unknown' : 'not-run', message: text }
  if (code === ALREADY_COMMITTED_STATE && hint?.startsWith(ALREADY_COMMITTED_HINT)) return { outcome: 'run', sqlState: code, message: text }
  return { outcome: wasSent && OUTCOME_UNKNOWN_STATES.has(code) ? 'unknown' : 'not-run', sqlState: code, message: text }
}
