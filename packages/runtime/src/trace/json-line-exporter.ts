import { createWriteStream, type WriteStream } from 'node:fs'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

interface CreateOptions {
  file: string
}

const EXPORT_SUCCESS = 0

/** Appends spans to a file, one JSON object per line. Start times are microseconds since the Unix epoch; durations are microseconds. */
export class JsonLineExporter implements SpanExporter {
  readonly #stream: WriteStream

  private constructor ({ file }: CreateOptions) {
    this.#stream = createWriteStream(file, { flags: 'a' })
    // A full or missing disk must not terminate the process; the spans are lost instead.
    this.#stream.on('error', () => {})
  }

  static create (options: CreateOptions): JsonLineExporter {
    return new JsonLineExporter(options)
  }

  export (spans: ReadableSpan[], handleResult: (result: { code: number }) => void): void {
    this.#stream.write(spans.map((span) => `${JSON.stringify(describeSpan(span))}\n`).join(''))
    handleResult({ code: EXPORT_SUCCESS })
  }

  async shutdown (): Promise<void> {
    await new Promise<void>((resolve) => { this.#stream.end(resolve) })
  }
}

function describeSpan (span: ReadableSpan): object {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanId,
    name: span.name,
    start: toMicroseconds(span.startTime),
    duration: toMicroseconds(span.duration),
    attributes: span.attributes,
    status: span.status.code,
    resource: span.resource.attributes
  }
}

function toMicroseconds ([seconds, nanoseconds]: [number, number]): number {
  return seconds * 1_000_000 + Math.round(nanoseconds / 1000)
}
