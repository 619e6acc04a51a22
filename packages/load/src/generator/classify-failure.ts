import type { Operation } from '../history/operation.js'

/** What a caller may conclude from an error of the driver. */
interface Failure {
  outcome: Operation['outcome']
  sqlState?: string
  message: string
}

const OUTCOME_UNKNOWN_STATES = new Set(['08007', 'XX000'])
const ALREADY_COMMITTED_STATE = '25000'
const ALREADY_COMMITTED_HINT = 'Not run again.'

/**
 * Reads the outcome that an error states. An error of the server carries a SQLSTATE: it names an unknown outcome, or the
 * work did not run. Without one the connection broke: work that was sent has an unknown outcome.
 */
export function classifyFailure (error: unknown, sent: boolean): Failure {
  const { code, hint, message } = error as { code?: string, hint?: string, message?: string }
  const text = message ?? String(error)
  if (code === undefined || !/^[0-9A-Z]{5}$/.test(code)) return { outcome: sent ? 'unknown' : 'not-run', message: text }
  if (code === ALREADY_COMMITTED_STATE && hint?.startsWith(ALREADY_COMMITTED_HINT)) return { outcome: 'run', sqlState: code, message: text }
  return { outcome: sent && OUTCOME_UNKNOWN_STATES.has(code) ? 'unknown' : 'not-run', sqlState: code, message: text }
}
