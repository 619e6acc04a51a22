import type { CallerRefusal } from './caller-refusal.js'
import type { CallerServices } from './caller-services.js'
import { formatCallerRefusal } from './format-caller-refusal.js'
import type { OpenTransaction } from './open-transaction.js'

/** Returns why a caller's key does not permit a further statement or the COMMIT of its transaction; undefined when it does. */
export function findKeyRefusal ({ checkClocks, catalogue, clock }: CallerServices, { entry, organisation }: OpenTransaction, key: string | undefined): CallerRefusal | undefined {
  checkClocks()
  const check = catalogue.checkKey(entry, key, clock.readTime())
  if (check.type === 'refused') return formatCallerRefusal(check.reason)
  // A key that another organisation has by now was withdrawn from this one.
  return entry.isPublic || check.organisation === organisation ? undefined : formatCallerRefusal('key-unknown')
}
