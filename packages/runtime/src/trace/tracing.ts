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
 * Spans of one process. A trace is sampled when its caller sampled it, else by `sampleRatio`. Without an exporter, and
 * for traces that are not sampled, `startSpan` returns undefined and creates nothing.
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

  /** Starts a span below `traceparent`, or the first span of a trace. The caller must end it. */
  startSpan (name: string, traceparent?: string, attributes?: Attributes): Span | undefined {
    if (this.#tracer === undefined) return undefined
    const parent = traceparent === undefined ? null : TRACEPARENT.exec(traceparent)
    if (parent === null) return Math.random() < this.#sampleRatio ? this.#tracer.startSpan(name, { attributes, root: true }, ROOT_CONTEXT) : undefined
    if ((Number.parseInt(parent[3] as string, 16) & TraceFlags.SAMPLED) === 0) return undefined
    const context = { traceId: parent[1] as string, spanId: parent[2] as string, traceFlags: TraceFlags.SAMPLED, isRemote: true }
    return this.#tracer.startSpan(name, { attributes }, trace.setSpanContext(ROOT_CONTEXT, context))
  }

  /** W3C traceparent of a span, for the next hop. */
  formatTraceparent (span: Span): string {
    const { traceId, spanId } = span.spanContext()
    return `00-${traceId}-${spanId}-01`
  }

  /** Traceparent for the next hop: that of `span`, else the one received. */
  chooseTraceparent (span: Span | undefined, received: string | undefined): string | undefined {
    return span === undefined ? received : this.formatTraceparent(span)
  }

  /** Runs `work` within a span below `traceparent`; without tracing it only runs it. */
  async run<Value> (name: string, traceparent: string | undefined, work: (traceparent: string | undefined) => Promise<Value>, attributes?: Attributes): Promise<Value> {
    const span = traceparent === undefined ? undefined : this.startSpan(name, traceparent, attributes)
    if (span === undefined) return await work(traceparent)
    try {
      const value = await work(this.formatTraceparent(span))
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
