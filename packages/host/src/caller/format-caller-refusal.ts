import type { CallerCheck } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { CallerRefusal } from './caller-refusal.js'

type RefusalReason = Extract<CallerCheck, { type: 'refused' }>['reason']

/** Returns what a caller is told when its database or key is refused. */
export function formatCallerRefusal (reason: RefusalReason): CallerRefusal {
  if (reason === 'stale') return { failure: 'busy', text: 'this host cannot confirm the catalogue; retry at another one' }
  return { failure: reason, text: reason === 'entry-unknown' ? 'there is no such database' : 'the key is not known' }
}
