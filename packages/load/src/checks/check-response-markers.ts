import type { History } from '../history/history.js'
import type { Violation } from './violation.js'

/** Finds responses that belong to another request, because their marker differs from the marker of the request. */
export function checkResponseMarkers ({ operations }: History): Violation[] {
  return operations
    .filter(({ outcome, marker, answerMarker }) => outcome === 'run' && marker !== undefined && answerMarker !== marker)
    .map(({ id, marker, answerMarker }) => ({ check: 'wrong-answer', operation: id, text: `asked with ${marker}, answered with ${answerMarker}` }))
}
