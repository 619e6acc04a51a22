import winston from 'winston'

interface CreateLoggerOptions {
  /** Name of the program or task. */
  label: string
  level?: string
  /** Fields of every line: host, data centre. */
  fields?: Record<string, string>
  stream?: 'stdout' | 'stderr'
}

const ALL_LEVELS = ['error', 'warn', 'info', 'http', 'verbose', 'debug', 'silly']

/** Logger that writes JSON lines, to standard error unless told otherwise. Never pass a caller's key to it. */
export function createLogger ({ label, level = 'info', fields = {}, stream = 'stderr' }: CreateLoggerOptions): winston.Logger {
  return winston.createLogger({
    level,
    defaultMeta: { label, ...fields },
    format: winston.format.combine(winston.format.timestamp(), winston.format.errors({ stack: true }), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: stream === 'stderr' ? ALL_LEVELS : [] })]
  })
}
