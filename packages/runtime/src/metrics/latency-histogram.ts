import { build, type Histogram } from 'hdr-histogram-js'
import { Gauge, type Registry } from 'prom-client'

interface CreateOptions {
  /** Metric name, ending with its unit: `_ms`. */
  name: string
  help: string
  registry: Registry
}

const QUANTILES = [0.5, 0.9, 0.99, 0.999]
const HIGHEST_US = 600_000_000

/** Latency distribution with a relative error below 1%, exported as quantiles in milliseconds since the start. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 2 })

  private constructor () {}

  static create ({ name, help, registry }: CreateOptions): LatencyHistogram {
    const latency = new LatencyHistogram()
    const gauge: Gauge = new Gauge({ name, help, labelNames: ['quantile'], registers: [registry], collect: () => { latency.#export(gauge) } })
    return latency
  }

  record (milliseconds: number): void {
    this.#histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, Math.round(milliseconds * 1000))))
  }

  #export (gauge: Gauge): void {
    for (const quantile of QUANTILES) {
      gauge.set({ quantile: String(quantile) }, this.#histogram.getValueAtPercentile(quantile * 100) / 1000)
    }
  }
}
