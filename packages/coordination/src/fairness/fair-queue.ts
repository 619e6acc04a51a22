import { serviceClasses, type ServiceClass } from './service-class.js'
import type { QueuedRequest } from './queued-request.js'

export type EnqueueResult =
  | { type: 'queued' }
  | { type: 'refused', reason: 'queue full' | 'deadline cannot be met' }

interface WaitingRequest extends QueuedRequest {
  enqueuedAt: number
}

interface Flow {
  organisation: string
  weight: number
  /** Virtual start time of the organisation's next request. */
  virtualStart: number
  /** Mean time in ms for which its requests hold a slot. */
  meanCostMs: number
  finished: number
  queues: Map<ServiceClass, WaitingRequest[]>
  waiting: number
}

interface CreateOptions {
  /** Number of requests that run concurrently; used to estimate waiting times. */
  slots: number
}

/** Slot time for waiting requests of a class while more urgent ones wait too, as a minimum fraction of what those get. */
const MIN_CLASS_FRACTION: Record<ServiceClass, number> = { urgent: 0, critical: 0.2, interactive: 0.15, deferred: 0.05 }
const INITIAL_COST_MS = 2
/**
 * Slot time by which an organisation that was idle may exceed its share. Without it, each request in a short burst of a small
 * organisation waits for a full round of the others.
 */
const IDLE_CREDIT_MS = 100
const COST_SMOOTHING = 0.1
/** The estimated waiting time is rough, so a request is refused only when the estimate exceeds the time to its deadline by this factor. */
const ESTIMATE_TOLERANCE = 1.5
const MAX_IDLE_FLOWS = 1000

/**
 * Start-time fair queue over slot time. Organisations share the slots by weight, independent of their numbers of requests and
 * connections. A request is charged its organisation's mean slot time when it starts, and the difference from the actual slot
 * time when it ends, so that long statements count in full.
 */
export class FairQueue {
  #slots: number
  readonly #flows = new Map<string, Flow>()
  readonly #byId = new Map<string, WaitingRequest>()
  readonly #chargedMs = new Map<string, number>()
  readonly #creditMsByClass = new Map<ServiceClass, number>(serviceClasses.map((serviceClass) => [serviceClass, 0]))
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

  updateSlots (slots: number): void { this.#slots = slots }

  /** Adds a request, or refuses it when its organisation's queue is full or the estimated wait exceeds its deadline. */
  enqueue (request: QueuedRequest, now: number): EnqueueResult {
    const flow = this.#findFlow(request)
    if (flow.waiting >= request.maximumQueued) return { type: 'refused', reason: 'queue full' }
    if (now + this.#estimateWaitMs(flow, request.serviceClass) > request.deadline) return { type: 'refused', reason: 'deadline cannot be met' }
    const waiting = { ...request, enqueuedAt: now }
    const queue = flow.queues.get(request.serviceClass) ?? []
    flow.queues.set(request.serviceClass, queue)
    if (flow.waiting === 0) flow.virtualStart = Math.max(flow.virtualStart, this.#virtualTime - IDLE_CREDIT_MS)
    queue.push(waiting)
    this.#updateCounts(flow, request.serviceClass, 1)
    this.#byId.set(request.id, waiting)
    return { type: 'queued' }
  }

  /** Removes and returns the next request to start among the organisations for which `isEligible` returns true. */
  take (isEligible: (organisation: string, meanCostMs: number) => boolean = () => true): QueuedRequest | undefined {
    for (const serviceClass of this.#listClassesInServiceOrder()) {
      const flow = this.#findNextFlow(serviceClass, isEligible)
      if (flow === undefined) continue
      const request = (flow.queues.get(serviceClass) as WaitingRequest[]).shift() as WaitingRequest
      this.#remove(flow, request)
      this.#charge(flow, request)
      return request
    }
    return undefined
  }

  /** Records the time for which a request held its slot, including a request that did not wait in the queue. */
  finish (id: string, organisation: string, costMs: number): void {
    const charged = this.#chargedMs.get(id) ?? 0
    const flow = this.#flows.get(organisation)
    this.#chargedMs.delete(id)
    if (flow === undefined) return
    flow.virtualStart += (costMs - charged) / flow.weight
    // The first statements have a higher weight, so that long statements raise the mean immediately.
    flow.meanCostMs += (costMs - flow.meanCostMs) * Math.max(COST_SMOOTHING, 1 / ++flow.finished)
  }

  /** Removes a waiting request. Returns false when it is no longer waiting. */
  remove (id: string): boolean {
    const request = this.#byId.get(id)
    const flow = request === undefined ? undefined : this.#flows.get(request.organisation)
    if (request === undefined || flow === undefined) return false
    const queue = flow.queues.get(request.serviceClass) as WaitingRequest[]
    queue.splice(queue.indexOf(request), 1)
    this.#remove(flow, request)
    return true
  }

  /** Removes and returns the waiting requests whose deadline has passed; none of them has started. */
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
    if (this.#flows.size >= MAX_IDLE_FLOWS) this.#removeIdleFlows()
    const flow = { organisation, weight, virtualStart: this.#virtualTime, meanCostMs: INITIAL_COST_MS, finished: 0, queues: new Map(), waiting: 0 }
    this.#flows.set(organisation, flow)
    return flow
  }

  #removeIdleFlows (): void {
    for (const [organisation, flow] of this.#flows) {
      if (flow.waiting === 0 && flow.virtualStart <= this.#virtualTime) this.#flows.delete(organisation)
    }
  }

  /** Estimates how long the organisation's waiting requests of the same or a more urgent class take at its share of the slots. */
  #estimateWaitMs (flow: Flow, serviceClass: ServiceClass): number {
    const urgent = serviceClasses.slice(0, serviceClasses.indexOf(serviceClass) + 1)
    const ahead = urgent.reduce((sum, name) => sum + (flow.queues.get(name)?.length ?? 0), 0)
    if (ahead === 0) return 0
    let weights = 0
    for (const other of this.#flows.values()) if (other.waiting > 0) weights += other.weight
    return ahead * flow.meanCostMs * (weights / flow.weight) / this.#slots / ESTIMATE_TOLERANCE
  }

  /** Lists the most urgent class first, unless a lower one is owed part of its minimum share. */
  #listClassesInServiceOrder (): ServiceClass[] {
    const waiting = serviceClasses.filter((serviceClass) => (this.#waitingByClass.get(serviceClass) as number) > 0)
    const owed = waiting.find((serviceClass) => (this.#creditMsByClass.get(serviceClass) as number) >= INITIAL_COST_MS)
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

  #charge (flow: Flow, { id, serviceClass }: WaitingRequest): void {
    this.#virtualTime = Math.max(this.#virtualTime, flow.virtualStart)
    flow.virtualStart += flow.meanCostMs / flow.weight
    this.#chargedMs.set(id, flow.meanCostMs)
    const index = serviceClasses.indexOf(serviceClass)
    this.#creditMsByClass.set(serviceClass, Math.max(0, (this.#creditMsByClass.get(serviceClass) as number) - flow.meanCostMs))
    for (const lower of serviceClasses.slice(index + 1)) {
      const isWaiting = (this.#waitingByClass.get(lower) as number) > 0
      this.#creditMsByClass.set(lower, isWaiting ? (this.#creditMsByClass.get(lower) as number) + flow.meanCostMs * MIN_CLASS_FRACTION[lower] : 0)
    }
  }

  #remove (flow: Flow, request: WaitingRequest): void {
    this.#byId.delete(request.id)
    this.#updateCounts(flow, request.serviceClass, -1)
  }

  #updateCounts (flow: Flow, serviceClass: ServiceClass, change: number): void {
    flow.waiting += change
    this.#waitingByClass.set(serviceClass, (this.#waitingByClass.get(serviceClass) as number) + change)
  }
}
