import type { ColumnType } from '../ledger/column-type.js'

interface ControlFunction {
  parameters: ColumnType[]
  columns: Array<{ name: string, type: ColumnType }>
}

const statusColumns: ControlFunction['columns'] = [
  { name: 'database', type: 'text' },
  { name: 'role', type: 'text' },
  { name: 'promised_term', type: 'integer' },
  { name: 'log_term', type: 'integer' },
  { name: 'log_position', type: 'integer' },
  { name: 'term_start', type: 'integer' },
  { name: 'primary', type: 'text' },
  { name: 'link_silent_ms', type: 'integer' },
  { name: 'connections', type: 'integer' }
]

/** Parameters and result columns of the platform's control functions, which statements may call. */
export const controlFunctions: Record<string, ControlFunction> = {
  platform_status: { parameters: [], columns: statusColumns },
  // The optional fourth parameter is the promised term that the caller last received.
  platform_wait: { parameters: ['bigint', 'bigint', 'numeric', 'bigint'], columns: statusColumns },
  platform_raise_term: {
    parameters: ['bigint'],
    columns: [
      { name: 'granted', type: 'boolean' },
      { name: 'promised_term', type: 'integer' },
      { name: 'log_term', type: 'integer' },
      { name: 'log_position', type: 'integer' }
    ]
  },
  platform_promote: { parameters: ['bigint'], columns: [{ name: 'granted', type: 'boolean' }] },
  platform_follow: { parameters: ['bigint', 'text'], columns: [{ name: 'granted', type: 'boolean' }] },
  platform_term_history: { parameters: [], columns: [{ name: 'term', type: 'integer' }, { name: 'start', type: 'integer' }] }
}
