import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

interface CreateOptions {
  url: string
}

type OtlpSpan = Parameters<OTLPTraceExporter['export']>[0][number]

/**
 * Sends spans by OTLP over HTTP. `OTLPTraceExporter` reads the field names of OpenTelemetry SDK 2, while the SDK in use has those of
 * 1.30, so each span is converted.
 */
export class OtlpExporter implements SpanExporter {
  readonly #exporter: OTLPTraceExporter

  private constructor ({ url }: CreateOptions) {
    this.#exporter = new OTLPTraceExporter({ url })
  }

  static create (options: CreateOptions): OtlpExporter {
    return new OtlpExporter(options)
  }

  export (spans: ReadableSpan[], handleResult: (result: { code: number }) => void): void {
    this.#exporter.export(spans.map(convertSpan), handleResult)
  }

  async shutdown (): Promise<void> {
    await this.#exporter.shutdown()
  }
}

function convertSpan (span: ReadableSpan): OtlpSpan {
  const parentSpanContext = span.parentSpanId === undefined ? undefined : { ...span.spanContext(), spanId: span.parentSpanId }
  return Object.assign(Object.create(span) as object, { instrumentationScope: span.instrumentationLibrary, parentSpanContext }) as unknown as OtlpSpan
}
