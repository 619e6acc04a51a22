import { LatencyHistogram } from '@tanagerusher/runtime/metrics/latency-histogram'
import { Counter, Gauge, Registry } from 'prom-client'

/** Metrics of one entry process. */
export class EntryMetrics {
  readonly registry = new Registry()
  readonly #latency = LatencyHistogram.create({
    name: 'tanagerusher_entry_request_ms', help: 'Time from a complete request to its answer', registry: this.registry
  })

  readonly #requests = new Counter({
    name: 'tanagerusher_entry_requests_total', help: 'Requests by outcome: answered or error kind', labelNames: ['outcome'], registers: [this.registry]
  })

  readonly #logIns = new Counter({
    name: 'tanagerusher_entry_log_ins_total', help: 'Log-ins by result', labelNames: ['result'], registers: [this.registry]
  })

  readonly #reads = new Counter({
    name: 'tanagerusher_entry_reads_total', help: 'Answered reads by the kind of database that served them', labelNames: ['target'], registers: [this.registry]
  })

  readonly #sessions = new Gauge({
    name: 'tanagerusher_entry_sessions', help: 'Callers that are logged in', registers: [this.registry]
  })

  // The hot path counts in fields, which are added to the counters when the metrics are collected.
  #answeredSinceCollection = 0
  #readsAtReplicas = 0
  #readsAtPrimaries = 0
  #collectedAnswered = 0
  #failed = 0
  readonly #answeredByOrganisation = new Map<string, number>()

  private constructor () {
    const requests = this.#requests
    const takeAnswered = (): number => {
      const answered = this.#answeredSinceCollection
      this.#answeredSinceCollection = 0
      this.#collectedAnswered += answered
      return answered
    }
    const reads = this.#reads
    const takeReads = (): [replica: number, primary: number] => {
      const taken: [number, number] = [this.#readsAtReplicas, this.#readsAtPrimaries]
      this.#readsAtReplicas = 0
      this.#readsAtPrimaries = 0
      return taken
    }
    Object.assign(reads, {
      collect: () => {
        const [replica, primary] = takeReads()
        reads.inc({ target: 'replica' }, replica)
        reads.inc({ target: 'primary' }, primary)
      }
    })
    Object.assign(requests, { collect: () => { requests.inc({ outcome: 'answered' }, takeAnswered()) } })
  }

  static create (): EntryMetrics {
    return new EntryMetrics()
  }

  addSession (): void {
    this.#sessions.inc()
  }

  removeSession (): void {
    this.#sessions.dec()
  }

  recordResponse (organisation: string, milliseconds: number): void {
    this.#latency.record(milliseconds)
    this.#answeredSinceCollection++
    this.#answeredByOrganisation.set(organisation, (this.#answeredByOrganisation.get(organisation) ?? 0) + 1)
  }

  recordRead (isAtReplica: boolean): void {
    if (isAtReplica) this.#readsAtReplicas++
    else this.#readsAtPrimaries++
  }

  recordFailure (kind: string): void {
    this.#failed++
    this.#requests.inc({ outcome: kind })
  }

  /** Returns the requests answered per second by organisation since the last call. */
  takeRates (elapsedMs: number): Record<string, number> {
    const rates = Object.fromEntries([...this.#answeredByOrganisation].map(([organisation, count]) => [organisation, count * 1000 / Math.max(1, elapsedMs)]))
    this.#answeredByOrganisation.clear()
    return rates
  }

  /** Returns counts since the start of the process, for the status report. */
  listCounts (): Record<string, number> {
    return { answered: this.#collectedAnswered + this.#answeredSinceCollection, failed: this.#failed }
  }

  recordLogIn (result: string): void {
    this.#logIns.inc({ result })
  }
}
