import { SeededRandom } from '../../random/seeded-random.js'
import { VirtualTime } from '../common/virtual-time.js'
import type { QueuePolicy } from './queue-policy.js'
import type { ArrivalProcess } from './arrival-process.js'
import type { Completion } from './completion.js'

interface FairnessCaseOptions {
  policy: QueuePolicy
  arrivals: ArrivalProcess[]
  durationMs: number
  seed: string
}

const DEADLINE_MS = 10_000
const MAXIMUM_QUEUED = 1000
const EXPIRE_INTERVAL_MS = 100

/** Runs the queue of one database with Poisson arrivals and exponentially distributed service times. */
export function runFairnessCase ({ policy, arrivals, durationMs, seed }: FairnessCaseOptions): Completion[] {
  const time = VirtualTime.create()
  const completions: Completion[] = []
  const requests = new Map<string, { completion: Completion, serviceMs: number }>()
  const startNext = (): void => {
    for (let next = policy.start(time.readTime()); next !== undefined; next = policy.start(time.readTime())) run(next.id)
  }
  const run = (id: string): void => {
    const request = requests.get(id)
    if (request === undefined) return
    time.schedule(request.serviceMs, () => {
      request.completion.endMs = time.readTime()
      requests.delete(id)
      policy.finish(id, time.readTime())
      startNext()
    })
  }
  const arrive = (source: ArrivalProcess, random: SeededRandom, count: number): void => {
    const now = time.readTime()
    const id = `${source.organisation}-${count}`
    const completion: Completion = { organisation: source.organisation, dueMs: now }
    completions.push(completion)
    requests.set(id, { completion, serviceMs: random.takeExponential(source.meanServiceMs) })
    policy.enqueue({ id, organisation: source.organisation, weight: 1, serviceClass: 'interactive', deadline: now + DEADLINE_MS, maximumQueued: MAXIMUM_QUEUED }, now)
    startNext()
    time.schedule(random.takeExponential(1000 / source.perSecond), () => { arrive(source, random, count + 1) })
  }
  const expire = (): void => {
    policy.expire(time.readTime())
    time.schedule(EXPIRE_INTERVAL_MS, expire)
  }
  for (const source of arrivals) {
    const random = SeededRandom.create(`${seed}/${source.organisation}`)
    time.schedule(random.takeExponential(1000 / source.perSecond), () => { arrive(source, random, 0) })
  }
  expire()
  time.runUntil(durationMs)
  return completions
}
