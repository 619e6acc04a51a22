import { build, type Histogram } from 'hdr-histogram-js'
import { Gauge, type Registry } from 'prom-client'

interface CreateOptions {
  /** Metric name, ending with its unit: `_ms`. */
  name: string
  help: string
  registry: Registry
}

const QUANTILES = [0.5, 0.9, 0.99, 0.999]
const MAX_LATENCY_US = 600_000_000

/** Latency distribution since the start of the process, with a relative error below 1%. It is exported as quantiles in milliseconds. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 2 })

  private constructor () {}

  static create ({ name, help, registry }: CreateOptions): LatencyHistogram {
    const latencyHistogram = new LatencyHistogram()
    const gauge: Gauge = new Gauge({ name, help, labelNames: ['quantile'], registers: [registry], collect: () => { latencyHistogram.#updateGauge(gauge) } })
    return latencyHistogram
  }

  record (milliseconds: number): void {
    this.#histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(milliseconds * 1000))))
  }

  #updateGauge (gauge: Gauge): void {
    for (const quantile of QUANTILES) {
      gauge.set({ quantile: String(quantile) }, this.#histogram.getValueAtPercentile(quantile * 100) / 1000)
    }
  }
}
