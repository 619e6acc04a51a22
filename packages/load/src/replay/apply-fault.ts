import type { Fleet } from '../fleet/fleet.js'
import type { TraceEvent } from './trace.js'

type FaultEvent = Extract<TraceEvent, { type: 'fault' }>

const LAG_DEFAULT_MS = 1000
const SLOW_DEFAULT_MS = 200
const LOST_RESPONSES = 3

/** Starts one fault of a trace, or ends it. */
export async function applyFault (fleet: Fleet, { fault, target, milliseconds }: FaultEvent): Promise<void> {
  switch (fault) {
    case 'kill-host': fleet.kill(target); break
    case 'kill-pool': fleet.kill(`${target}-pool`); break
    case 'kill-entry': fleet.kill(`${target}-entry`); break
    case 'kill-control': fleet.kill(`${target}-control`); break
    case 'restart-host': await fleet.restart(target); break
    case 'pause-pool': fleet.pause(`${target}-pool`); break
    case 'resume-pool': fleet.resume(`${target}-pool`); break
    case 'store-outage': await fleet.setStoreFaults({ outage: 'refuse' }); break
    case 'store-lost-responses': await fleet.setStoreFaults({ lostAnswers: { next: LOST_RESPONSES, only: 'writes' } }); break
    case 'store-slow': await fleet.setStoreFaults({ extraDelayMs: milliseconds ?? SLOW_DEFAULT_MS }); break
    case 'store-heal': await fleet.setStoreFaults({}); break
    default: await applyDatabaseFault(fleet, fault, await fleet.resolveDatabase(target), milliseconds)
  }
}

async function applyDatabaseFault (fleet: Fleet, fault: FaultEvent['fault'], database: string, milliseconds: number | undefined): Promise<void> {
  await fleet.applyFault(database, (faults) => {
    switch (fault) {
      case 'cut-off': faults.addCutOff(database); break
      case 'kill-database': faults.addMemberFaults(database, { crashed: true }); break
      case 'lag': faults.addLag(database, milliseconds ?? LAG_DEFAULT_MS); break
      case 'slow': faults.addMemberFaults(database, { extraServiceMs: milliseconds ?? SLOW_DEFAULT_MS }); break
      default: faults.remove(database)
    }
  })
}
