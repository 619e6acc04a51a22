import { checkHistory } from '../checks/check-history.js'
import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import { measureFailoverGap } from '../measures/measure-failover-gap.js'
import { measureFalseRejections } from '../measures/measure-false-rejections.js'
import { measureReplicaShare } from '../measures/measure-replica-share.js'
import { measureWorstServed } from '../measures/measure-worst-served.js'
import type { Trace } from './trace.js'

type Expectation = Trace['expectations'][number]

interface Evaluation {
  holds: boolean
  text: string
}

const RATE_EXCEEDED = '53400'

/** Evaluates one expectation against the history of a replay. Times in the history count from the start of the trace. */
export function evaluateExpectation (expectation: Expectation, history: History): Evaluation {
  const { measure, atLeast, atMost, organisation, class: callerClass } = expectation
  const figure = computeFigure(expectation, { ...history, operations: selectOperations(expectation, history) })
  const scope = [organisation, callerClass].filter((part) => part !== undefined).join(' ')
  const bound = [atLeast === undefined ? '' : `at least ${atLeast}`, atMost === undefined ? '' : `at most ${atMost}`].filter((part) => part !== '').join(', ')
  const holds = figure !== undefined && figure >= (atLeast ?? -Infinity) && figure <= (atMost ?? Infinity)
  return { holds, text: `${measure}${scope === '' ? '' : ` (${scope})`} is ${formatFigure(figure)}, stated ${bound}` }
}

function selectOperations ({ except, organisation, class: callerClass, fromMs, untilMs }: Expectation, { operations }: History): Operation[] {
  return operations.filter((operation) => !except.includes(operation.organisation) && operation.startMs >= fromMs && operation.startMs < untilMs &&
    (organisation === undefined || operation.organisation === organisation) &&
    (callerClass === undefined || operation.entry === `${operation.organisation}-${callerClass}`))
}

function computeFigure ({ measure, group, fromMs, untilMs }: Expectation, history: History): number | undefined {
  const { operations, faults, withdrawals } = history
  switch (measure) {
    case 'violations': return checkHistory(history).length
    case 'run': return countCompleted(operations)
    case 'answered-share': return operations.length === 0 ? undefined : countCompleted(operations) / operations.length
    case 'failover-gap': return measureFailoverGap(history, group ?? operations[0]?.group ?? '', faults[0]?.atMs ?? 0)
    case 'false-rejections': return measureFalseRejections(history).refused
    case 'refused': return operations.filter(({ sqlState }) => sqlState === RATE_EXCEEDED).length
    case 'replica-share': return measureReplicaShare(history)
    case 'worst-served': return measureWorstServed(history, { fromMs, untilMs: Math.min(untilMs, findEndMs(operations)) })?.share
    case 'withdrawal': return withdrawals.length === 0 ? undefined : findLatestUseMs(history)
    case 'interrupted': return operations.filter(({ outcome }) => outcome === 'unknown').length
  }
}

function countCompleted (operations: Operation[]): number {
  return operations.filter(({ outcome }) => outcome === 'run').length
}

function findEndMs (operations: Operation[]): number {
  return Math.max(0, ...operations.map(({ endMs }) => endMs))
}

/** Returns the longest time after a withdrawal at which work that still ran under the withdrawn key began, or 0 if there was none. */
function findLatestUseMs ({ operations, withdrawals }: History): number {
  return Math.max(0, ...withdrawals.flatMap(({ key, atMs }) => operations
    .filter((operation) => operation.key === key && operation.outcome === 'run')
    .map(({ startMs }) => startMs - atMs)))
}

function formatFigure (figure: number | undefined): string {
  if (figure === undefined) return 'not defined'
  return Number.isInteger(figure) ? String(figure) : figure.toFixed(figure < 10 ? 3 : 0)
}
