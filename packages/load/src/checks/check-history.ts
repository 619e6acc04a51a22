import type { History } from '../history/history.js'
import { checkResponseMarkers } from './check-response-markers.js'
import { checkDoubledWrites } from './check-doubled-writes.js'
import { checkFalseAcknowledgements } from './check-false-acknowledgements.js'
import { checkFalseNotRun } from './check-false-not-run.js'
import { checkKeys } from './check-keys.js'
import { checkLostWrites } from './check-lost-writes.js'
import { checkMixedTransactions } from './check-mixed-transactions.js'
import { checkMonotonicReads } from './check-monotonic-reads.js'
import { checkRates } from './check-rates.js'
import { checkReadYourWrites } from './check-read-your-writes.js'
import type { Violation } from './violation.js'

const CHECKS = [
  checkReadYourWrites, checkMonotonicReads, checkLostWrites, checkFalseAcknowledgements, checkDoubledWrites,
  checkMixedTransactions, checkResponseMarkers, checkFalseNotRun, checkKeys, checkRates
] as const

/** Runs every check for which no violation is allowed. */
export function checkHistory (history: History): Violation[] {
  return CHECKS.flatMap((check) => check(history))
}
