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

  readonly #sessions = new Gauge({
    name: 'tanagerusher_entry_sessions', help: 'Callers that are logged in', registers: [this.registry]
  })

  // The hot path counts in a field; the registry reads it when it is asked.
  #answered = 0

  private constructor () {
    const requests = this.#requests
    const takeAnswered = (): number => {
      const answered = this.#answered
      this.#answered = 0
      return answered
    }
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

  recordRequest (outcome: string, milliseconds: number): void {
    this.#latency.record(milliseconds)
    if (outcome === 'answered') this.#answered++
    else this.#requests.inc({ outcome })
  }

  recordLogIn (result: string): void {
    this.#logIns.inc({ result })
  }
}
