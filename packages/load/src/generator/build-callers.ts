import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { Fleet } from '../fleet/fleet.js'
import { SeededRandom } from '../random/seeded-random.js'
import type { CallerClass } from '../workload/caller-class.js'
import type { Caller } from './caller.js'
import { RoamingSession } from './roaming-session.js'
import type { EntryAddress } from './entry-address.js'

interface BuildCallersOptions {
  fleet: Fleet
  clock: Clock
  seed: number
  /** Prefix of the sessions' names. It must differ between the loads of one run. */
  label: string
  organisation: string
  callerClass: CallerClass
  sessions: number
  perSecond: number
  /** The only host that the sessions use. Absent means all hosts. */
  host?: string | undefined
}

/** Builds the callers of one organisation and class. Together they send `perSecond` pieces of work per second. */
export function buildCallers ({ fleet, clock, seed, label, organisation, callerClass, sessions, perSecond, host }: BuildCallersOptions): Caller[] {
  const entries: readonly EntryAddress[] = host === undefined ? fleet.entries : fleet.entries.filter((entry) => entry.host === host)
  return Array.from({ length: sessions }, (_, number) => {
    const session = `${label}-${organisation}-${callerClass.name}-${number}`
    const random = SeededRandom.create(`${seed}/${session}`)
    const identity = { ...fleet.buildIdentity(organisation, callerClass.name), session }
    return {
      callerClass,
      random: random.createChild('work'),
      meanIntervalMs: 1000 * sessions / perSecond,
      session: RoamingSession.create({ identity, entries, clock, random: random.createChild('hosts') })
    }
  })
}
