import { LatencyHistogram } from '@tanagerusher/runtime/metrics/latency-histogram'
import { Counter, Gauge, Registry } from 'prom-client'

interface DatabaseFigures {
  group: string
  database: string
  /** Number of running and queued requests. */
  load: number
  connections: number
  openTransactions: number
}

/** Metrics of one pool process. */
export class PoolMetrics {
  readonly registry = new Registry()
  readonly #waits = LatencyHistogram.create({
    name: 'tanagerusher_pool_wait_ms', help: 'Time from the arrival of a request to its slot and connection', registry: this.registry
  })

  readonly #upstream = LatencyHistogram.create({
    name: 'tanagerusher_pool_upstream_ms', help: 'Time from sending work to the end of its answer', registry: this.registry
  })

  readonly #confirmations = LatencyHistogram.create({
    name: 'tanagerusher_pool_confirm_ms', help: 'Time from the answer of the upstream to the confirmation by a majority', registry: this.registry
  })

  readonly #requests = new Counter({
    name: 'tanagerusher_pool_requests_total', help: 'Requests by outcome: answered or error kind', labelNames: ['outcome'], registers: [this.registry]
  })

  readonly #promotions = new Counter({
    name: 'tanagerusher_pool_promotions_total', help: 'Promotions by result', labelNames: ['result'], registers: [this.registry]
  })

  // Counted in a field because this is on the hot path; added to the counter when metrics are collected.
  #answeredSinceCollection = 0

  private constructor (listDatabases: () => Iterable<DatabaseFigures>) {
    Object.assign(this.#requests, {
      collect: () => {
        const answered = this.#answeredSinceCollection
        this.#answeredSinceCollection = 0
        this.#requests.inc({ outcome: 'answered' }, answered)
      }
    })
    const gauges: Array<[name: string, help: string, read: (figures: DatabaseFigures) => number]> = [
      ['tanagerusher_pool_load', 'Requests that run or wait', ({ load }) => load],
      ['tanagerusher_pool_connections', 'Upstream connections', ({ connections }) => connections],
      ['tanagerusher_pool_open_transactions', 'Transactions that wait for their next statement or run one', ({ openTransactions }) => openTransactions]
    ]
    for (const [name, help, read] of gauges) {
      const gauge: Gauge = new Gauge({
        name,
        help,
        labelNames: ['group', 'database'],
        registers: [this.registry],
        collect: () => {
          gauge.reset()
          for (const figures of listDatabases()) gauge.set({ group: figures.group, database: figures.database }, read(figures))
        }
      })
    }
  }

  static create (listDatabases: () => Iterable<DatabaseFigures>): PoolMetrics {
    return new PoolMetrics(listDatabases)
  }

  recordOutcome (outcome: string): void {
    if (outcome === 'answered') this.#answeredSinceCollection++
    else this.#requests.inc({ outcome })
  }

  recordWait (milliseconds: number): void { this.#waits.record(milliseconds) }
  recordUpstream (milliseconds: number): void { this.#upstream.record(milliseconds) }
  recordConfirmation (milliseconds: number): void { this.#confirmations.record(milliseconds) }
  recordPromotion (succeeded: boolean): void { this.#promotions.inc({ result: succeeded ? 'promoted' : 'failed' }) }
}
