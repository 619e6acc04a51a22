import type { SeededRandom } from '../random/seeded-random.js'
import type { CallerClass } from '../workload/caller-class.js'
import type { RoamingSession } from './roaming-session.js'

/** A simulated caller of the run. */
export interface Caller {
  session: RoamingSession
  callerClass: CallerClass
  random: SeededRandom
  /** Mean time between arrivals in an open loop, or mean think time in a closed loop. */
  meanIntervalMs: number
}
