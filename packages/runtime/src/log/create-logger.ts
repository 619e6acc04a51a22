import winston from 'winston'
import { BoundedLogStream } from './bounded-log-stream.js'

interface CreateLoggerOptions {
  /** Name of the program or task. */
  label: string
  level?: string
  /** Fields that are added to every line: host, data centre. */
  fields?: Record<string, string>
  stream?: 'stdout' | 'stderr'
}

const ALL_LEVELS = ['error', 'warn', 'info', 'http', 'verbose', 'debug', 'silly']

/** Creates a logger that writes JSON lines, by default to standard error. A caller's key must never be logged. */
export function createLogger ({ label, level = 'info', fields = {}, stream = 'stderr' }: CreateLoggerOptions): winston.Logger {
  return winston.createLogger({
    level,
    defaultMeta: { label, ...fields },
    format: winston.format.combine(winston.format.timestamp(), winston.format.errors({ stack: true }), winston.format.json()),
    transports: [stream === 'stderr' ? new winston.transports.Console({ stderrLevels: ALL_LEVELS }) : createStdoutTransport()]
  })
}

function createStdoutTransport (): winston.transport {
  // Node.js writes to a pipe synchronously by default, so a stalled reader would block the process.
  const { _handle: handle } = process.stdout as unknown as { _handle?: { setBlocking?: (isBlocking: boolean) => void } }
  handle?.setBlocking?.(false)
  return new winston.transports.Stream({ stream: BoundedLogStream.create({ sink: process.stdout, readTime: Date.now }) })
}
