import { ROOT_CONTEXT, SpanStatusCode, trace, TraceFlags, type Span, type Tracer } from '@opentelemetry/api'
import { Resource } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, type SpanExporter } from '@opentelemetry/sdk-trace-base'
import type { HostSettings } from '../settings/host-settings.js'
import { JsonLineExporter } from './json-line-exporter.js'
import { OtlpExporter } from './otlp-exporter.js'

interface CreateOptions {
  settings: HostSettings['trace']
  /** Name of the program. */
  program: string
  host: string
  dataCentre: string
}

type Attributes = Readonly<Record<string, string | number | boolean>>

const TRACEPARENT = /^00-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})$/

/**
 * Creates the spans of one process. A trace that a caller started is sampled when the caller sampled it, any other trace by
 * `sampleRatio`. Without an exporter, and for traces that are not sampled, `startSpan` returns undefined and creates nothing.
 */
export class Tracing {
  readonly #provider: BasicTracerProvider | undefined
  readonly #tracer: Tracer | undefined
  readonly #sampleRatio: number

  private constructor (provider: BasicTracerProvider | undefined, sampleRatio: number) {
    this.#provider = provider
    this.#tracer = provider?.getTracer('tanagerusher')
    this.#sampleRatio = sampleRatio
  }

  static create ({ settings, program, host, dataCentre }: CreateOptions): Tracing {
    const exporters: SpanExporter[] = []
    if (settings.otlpUrl !== undefined) exporters.push(OtlpExporter.create({ url: settings.otlpUrl }))
    if (settings.file !== undefined) exporters.push(JsonLineExporter.create({ file: settings.file }))
    if (exporters.length === 0) return new Tracing(undefined, 0)
    const resource = new Resource({ 'service.name': program, 'host.name': host, 'cloud.availability_zone': dataCentre })
    const spanProcessors = exporters.map((exporter) => new BatchSpanProcessor(exporter))
    return new Tracing(new BasicTracerProvider({ resource, spanProcessors }), settings.sampleRatio)
  }

  get isEnabled (): boolean {
    return this.#tracer !== undefined
  }

  /** Starts a child span of `traceparent`, or the root span of a new trace. The caller must end it. */
  startSpan (name: string, traceparent?: string, attributes?: Attributes): Span | undefined {
    if (this.#tracer === undefined) return undefined
    const parent = traceparent === undefined ? null : TRACEPARENT.exec(traceparent)
    if (parent === null) return Math.random() < this.#sampleRatio ? this.#tracer.startSpan(name, { attributes, root: true }, ROOT_CONTEXT) : undefined
    if ((Number.parseInt(parent[3] as string, 16) & TraceFlags.SAMPLED) === 0) return undefined
    const context = { traceId: parent[1] as string, spanId: parent[2] as string, traceFlags: TraceFlags.SAMPLED, isRemote: true }
    return this.#tracer.startSpan(name, { attributes }, trace.setSpanContext(ROOT_CONTEXT, context))
  }

  /** Formats the W3C traceparent of a span, to be sent to the next process. */
  formatTraceparent (span: Span): string {
    const { traceId, spanId } = span.spanContext()
    return `00-${traceId}-${spanId}-01`
  }

  /** Returns the traceparent to send to the next process: that of `span`, or the received one if there is no span. */
  chooseTraceparent (span: Span | undefined, received: string | undefined): string | undefined {
    return span === undefined ? received : this.formatTraceparent(span)
  }

  /** Runs `operation` within a child span of `traceparent`, or without a span when `traceparent` is undefined or its trace is not recorded. */
  async run<Value> (name: string, traceparent: string | undefined, operation: (traceparent: string | undefined) => Promise<Value>, attributes?: Attributes): Promise<Value> {
    const span = traceparent === undefined ? undefined : this.startSpan(name, traceparent, attributes)
    if (span === undefined) return await operation(traceparent)
    try {
      const value = await operation(this.formatTraceparent(span))
      span.end()
      return value
    } catch (error) {
      this.endWithError(span, error as Error)
      throw error
    }
  }

  endWithError (span: Span | undefined, error: Error): void {
    if (span === undefined) return
    span.setStatus({ code: SpanStatusCode.ERROR, message: error.message })
    span.end()
  }

  async close (): Promise<void> {
    await this.#provider?.shutdown()
  }
}
