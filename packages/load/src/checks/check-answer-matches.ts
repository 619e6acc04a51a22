import type { History } from '../history/history.js'
import type { Violation } from './violation.js'

/** Finds answers that belong to another request: the marker of the request is not the marker of the answer. */
export function checkAnswerMatches ({ operations }: History): Violation[] {
  return operations
    .filter(({ outcome, marker, answerMarker }) => outcome === 'run' && marker !== undefined && answerMarker !== marker)
    .map(({ id, marker, answerMarker }) => ({ check: 'wrong-answer', operation: id, text: `asked with ${marker}, answered with ${answerMarker}` }))
}
