import type { SeededRandom } from '../random/seeded-random.js'
import type { CallerClass } from '../workload/caller-class.js'
import type { RoamingSession } from './roaming-session.js'

/** A caller of the run: its session, its class and how often it sends. */
export interface Caller {
  session: RoamingSession
  callerClass: CallerClass
  random: SeededRandom
  /** Mean time between arrivals of an open loop, or mean think time of a closed loop. */
  intervalMs: number
}
