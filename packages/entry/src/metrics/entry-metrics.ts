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

  // The hot path counts in a field; the registry reads it when it is asked.
  #answered = 0
  #readsAtReplicas = 0
  #readsAtPrimaries = 0
  #answeredTotal = 0
  #failed = 0
  readonly #answeredByOrganisation = new Map<string, number>()

  private constructor () {
    const requests = this.#requests
    const takeAnswered = (): number => {
      const answered = this.#answered
      this.#answered = 0
      this.#answeredTotal += answered
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

  recordAnswer (organisation: string, milliseconds: number): void {
    this.#latency.record(milliseconds)
    this.#answered++
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

  /** Answered statements per second by organisation since the last call. */
  takeRates (elapsedMs: number): Record<string, number> {
    const rates = Object.fromEntries([...this.#answeredByOrganisation].map(([organisation, count]) => [organisation, count * 1000 / Math.max(1, elapsedMs)]))
    this.#answeredByOrganisation.clear()
    return rates
  }

  /** Counts since the start, for the operators' status page. */
  listFigures (): Record<string, number> {
    return { answered: this.#answeredTotal + this.#answered, failed: this.#failed }
  }

  recordLogIn (result: string): void {
    this.#logIns.inc({ result })
  }
}
