import { createHash } from 'node:crypto'
import type { ColumnType } from '../ledger/column-type.js'
import { readCurrentTimestamp } from '../ledger/read-current-timestamp.js'
import type { Value } from '../ledger/value.js'
import type { RunContext } from './run-context.js'

interface ScalarFunction {
  /** Type of the result; absent means the type of the first argument. */
  type?: ColumnType
  parameters: ColumnType[]
  compute: (values: Value[], context: RunContext) => Value
}

/** Scalar functions that statements can call. */
export const scalarFunctions: Record<string, ScalarFunction> = {
  coalesce: { parameters: [], compute: (values) => values.find((value) => value !== null) ?? null },
  now: { type: 'timestamptz', parameters: [], compute: () => readCurrentTimestamp() },
  clock_timestamp: { type: 'timestamptz', parameters: [], compute: () => readCurrentTimestamp() },
  length: { type: 'integer', parameters: ['text'], compute: ([text]) => text === null ? null : String(text).length },
  lower: { type: 'text', parameters: ['text'], compute: ([text]) => text === null ? null : String(text).toLowerCase() },
  upper: { type: 'text', parameters: ['text'], compute: ([text]) => text === null ? null : String(text).toUpperCase() },
  md5: { type: 'text', parameters: ['text'], compute: ([text]) => text === null ? null : createHash('md5').update(String(text)).digest('hex') },
  repeat: { type: 'text', parameters: ['text', 'integer'], compute: ([text, count]) => text === null || count === null ? null : String(text).repeat(Math.max(0, Number(count))) },
  abs: { parameters: ['numeric'], compute: ([value]) => value === null ? null : Math.abs(Number(value)) },
  version: { type: 'text', parameters: [], compute: (_, { readSetting }) => `PostgreSQL ${readSetting('server_version') ?? ''} (tanagerusher-database)` },
  current_database: { type: 'text', parameters: [], compute: (_, { readSetting }) => readSetting('database') },
  pg_backend_pid: { type: 'integer', parameters: [], compute: (_, { readSetting }) => Number(readSetting('backend_pid')) },
  pg_is_in_recovery: { type: 'boolean', parameters: [], compute: (_, { readSetting }) => readSetting('in_hot_standby') === 'on' },
  current_setting: { type: 'text', parameters: ['text'], compute: ([name], { readSetting }) => readSetting(String(name).toLowerCase()) },
  // The delay itself is applied before a statement that calls this function runs.
  pg_sleep: { type: 'text', parameters: ['numeric'], compute: () => '' }
}
