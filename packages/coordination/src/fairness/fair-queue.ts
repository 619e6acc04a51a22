import { serviceClasses, type ServiceClass } from './service-class.js'
import type { QueuedRequest } from './queued-request.js'

export type EnqueueResult =
  | { type: 'queued' }
  | { type: 'refused', reason: 'queue full' | 'deadline cannot be met' }

interface Waiting extends QueuedRequest {
  enqueuedAt: number
}

interface Flow {
  organisation: string
  weight: number
  /** Virtual time at which the organisation's next request may start. */
  virtualStart: number
  /** Mean slot time of its requests, in ms. */
  meanCostMs: number
  finished: number
  queues: Map<ServiceClass, Waiting[]>
  waiting: number
}

interface CreateOptions {
  /** Requests that run at a time; used to estimate waiting times. */
  slots: number
}

/** Share of the slot time that waiting requests of a class get although more urgent ones wait too. */
const LOWER_CLASS_SHARE: Record<ServiceClass, number> = { critical: 0, interactive: 0.15, deferred: 0.05 }
const INITIAL_COST_MS = 2
/**
 * Slot time by which an organisation that was idle may go ahead of its share: without it, a short burst of a small
 * organisation waits a full round of the others for each request.
 */
const RESUME_CREDIT_MS = 100
const COST_SMOOTHING = 0.1
/** The estimate of a waiting time is rough; only a clear excess refuses a request that might still make it. */
const ESTIMATE_TOLERANCE = 1.5
const MAX_IDLE_FLOWS = 1000

/**
 * Start-time fair queue over slot time. Organisations share the slots by weight, whatever number of requests or
 * connections they bring. A request is charged its organisation's mean slot time when it starts and the difference to the
 * real one when it ends, so that long statements are paid for.
 */
export class FairQueue {
  readonly #slots: number
  readonly #flows = new Map<string, Flow>()
  readonly #byId = new Map<string, Waiting>()
  readonly #charged = new Map<string, number>()
  readonly #credit = new Map<ServiceClass, number>(serviceClasses.map((serviceClass) => [serviceClass, 0]))
  readonly #waitingByClass = new Map<ServiceClass, number>(serviceClasses.map((serviceClass) => [serviceClass, 0]))
  #virtualTime = 0

  private constructor (slots: number) {
    this.#slots = slots
  }

  static create ({ slots }: CreateOptions): FairQueue {
    return new FairQueue(slots)
  }

  get size (): number {
    return this.#byId.size
  }

  /** Adds a request, or refuses it when it would wait beyond its deadline or its organisation's queue is full. */
  enqueue (request: QueuedRequest, now: number): EnqueueResult {
    const flow = this.#findFlow(request)
    if (flow.waiting >= request.maximumQueued) return { type: 'refused', reason: 'queue full' }
    if (now + this.#estimateWaitMs(flow, request.serviceClass) > request.deadline) return { type: 'refused', reason: 'deadline cannot be met' }
    const waiting = { ...request, enqueuedAt: now }
    const queue = flow.queues.get(request.serviceClass) ?? []
    flow.queues.set(request.serviceClass, queue)
    if (flow.waiting === 0) flow.virtualStart = Math.max(flow.virtualStart, this.#virtualTime - RESUME_CREDIT_MS)
    queue.push(waiting)
    this.#count(flow, request.serviceClass, 1)
    this.#byId.set(request.id, waiting)
    return { type: 'queued' }
  }

  /** Takes the request that starts next among the organisations that `isEligible` admits. */
  take (isEligible: (organisation: string, meanCostMs: number) => boolean = () => true): QueuedRequest | undefined {
    for (const serviceClass of this.#listClassesByTurn()) {
      const flow = this.#findNextFlow(serviceClass, isEligible)
      if (flow === undefined) continue
      const request = (flow.queues.get(serviceClass) as Waiting[]).shift() as Waiting
      this.#remove(flow, request)
      this.#charge(flow, request)
      return request
    }
    return undefined
  }

  /** Records how long a request held its slot, also one that did not wait in the queue. */
  finish (id: string, organisation: string, costMs: number): void {
    const charged = this.#charged.get(id) ?? 0
    const flow = this.#flows.get(organisation)
    this.#charged.delete(id)
    if (flow === undefined) return
    flow.virtualStart += (costMs - charged) / flow.weight
    // The first statements weigh fully, so that an organisation with long ones is recognised at once.
    flow.meanCostMs += (costMs - flow.meanCostMs) * Math.max(COST_SMOOTHING, 1 / ++flow.finished)
  }

  /** Removes a request that waits; false when it does not wait any more. */
  remove (id: string): boolean {
    const request = this.#byId.get(id)
    const flow = request === undefined ? undefined : this.#flows.get(request.organisation)
    if (request === undefined || flow === undefined) return false
    const queue = flow.queues.get(request.serviceClass) as Waiting[]
    queue.splice(queue.indexOf(request), 1)
    this.#remove(flow, request)
    return true
  }

  /** Removes and returns the requests whose deadline has passed; none of them has run. */
  expire (now: number): QueuedRequest[] {
    const due = [...this.#byId.values()].filter(({ deadline }) => deadline <= now)
    for (const { id } of due) this.remove(id)
    return due
  }

  findNextDeadline (): number | undefined {
    let earliest: number | undefined
    for (const { deadline } of this.#byId.values()) if (earliest === undefined || deadline < earliest) earliest = deadline
    return earliest
  }

  #findFlow ({ organisation, weight }: QueuedRequest): Flow {
    const known = this.#flows.get(organisation)
    if (known !== undefined) {
      known.weight = weight
      return known
    }
    if (this.#flows.size >= MAX_IDLE_FLOWS) this.#forgetIdleFlows()
    const flow = { organisation, weight, virtualStart: this.#virtualTime, meanCostMs: INITIAL_COST_MS, finished: 0, queues: new Map(), waiting: 0 }
    this.#flows.set(organisation, flow)
    return flow
  }

  #forgetIdleFlows (): void {
    for (const [organisation, flow] of this.#flows) {
      if (flow.waiting === 0 && flow.virtualStart <= this.#virtualTime) this.#flows.delete(organisation)
    }
  }

  /** Time until the organisation's own requests of the same or a more urgent class have gone first, at its share. */
  #estimateWaitMs (flow: Flow, serviceClass: ServiceClass): number {
    const urgent = serviceClasses.slice(0, serviceClasses.indexOf(serviceClass) + 1)
    const ahead = urgent.reduce((sum, name) => sum + (flow.queues.get(name)?.length ?? 0), 0)
    if (ahead === 0) return 0
    let weights = 0
    for (const other of this.#flows.values()) if (other.waiting > 0) weights += other.weight
    return ahead * flow.meanCostMs * (weights / flow.weight) / this.#slots / ESTIMATE_TOLERANCE
  }

  /** The most urgent class first, unless a lower one has waited past its guaranteed share. */
  #listClassesByTurn (): ServiceClass[] {
    const waiting = serviceClasses.filter((serviceClass) => (this.#waitingByClass.get(serviceClass) as number) > 0)
    const owed = waiting.find((serviceClass) => (this.#credit.get(serviceClass) as number) >= INITIAL_COST_MS)
    return owed === undefined ? waiting : [owed, ...waiting.filter((serviceClass) => serviceClass !== owed)]
  }

  #findNextFlow (serviceClass: ServiceClass, isEligible: (organisation: string, meanCostMs: number) => boolean): Flow | undefined {
    let next: Flow | undefined
    for (const flow of this.#flows.values()) {
      if ((flow.queues.get(serviceClass)?.length ?? 0) === 0) continue
      if (next !== undefined && next.virtualStart <= flow.virtualStart) continue
      if (isEligible(flow.organisation, flow.meanCostMs)) next = flow
    }
    return next
  }

  #charge (flow: Flow, { id, serviceClass }: Waiting): void {
    this.#virtualTime = Math.max(this.#virtualTime, flow.virtualStart)
    flow.virtualStart += flow.meanCostMs / flow.weight
    this.#charged.set(id, flow.meanCostMs)
    const index = serviceClasses.indexOf(serviceClass)
    this.#credit.set(serviceClass, Math.max(0, (this.#credit.get(serviceClass) as number) - flow.meanCostMs))
    for (const lower of serviceClasses.slice(index + 1)) {
      const isWaiting = (this.#waitingByClass.get(lower) as number) > 0
      this.#credit.set(lower, isWaiting ? (this.#credit.get(lower) as number) + flow.meanCostMs * LOWER_CLASS_SHARE[lower] : 0)
    }
  }

  #remove (flow: Flow, request: Waiting): void {
    this.#byId.delete(request.id)
    this.#count(flow, request.serviceClass, -1)
  }

  #count (flow: Flow, serviceClass: ServiceClass, change: number): void {
    flow.waiting += change
    this.#waitingByClass.set(serviceClass, (this.#waitingByClass.get(serviceClass) as number) + change)
  }
}
