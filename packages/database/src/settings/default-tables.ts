import type { TableDefinition } from '../ledger/table-definition.js'

type Column = TableDefinition['columns'][number]

/** Tables of the two workloads and the table of idempotency records. */
export const defaultTables: TableDefinition[] = [
  defineTable('payment', [text('stallholder'), bigint('amount'), time('paid_at')]),
  defineTable('toll_payment', [text('stallholder'), bigint('amount'), time('paid_at')]),
  defineTable('pitch_log', [text('pitch'), text('note'), time('logged_at')]),
  defineTable('purchase_order', [text('buyer'), text('item'), bigint('quantity'), text('state', 'placed'), time('placed_at')]),
  defineTable('blank_order', [text('buyer'), text('item'), bigint('quantity'), text('state', 'placed'), time('placed_at')]),
  defineTable('stock', [text('item'), bigint('quantity'), text('note')]),
  defineTable('stock_check', [text('item'), bigint('quantity'), time('checked_at')]),
  defineTable('hide_log', [text('hide'), bigint('blanks'), time('cut_at')]),
  {
    name: 'tanagerusher_request',
    columns: [{ ...text('idempotency_key'), notNull: true }, text('digest'), text('response'), time('created_at')],
    primaryKey: ['idempotency_key'],
    indexes: [],
    rows: []
  }
]

/** Table of one workload: every row has an identifier and the session and organisation that wrote it. */
function defineTable (name: string, columns: Column[]): TableDefinition {
  const common = [{ ...text('id'), notNull: true }, text('session'), text('organisation')]
  return { name, columns: [...common, ...columns], primaryKey: ['id'], indexes: ['session'], rows: [] }
}

function text (name: string, value: string | null = null): Column {
  return { name, type: 'text', notNull: false, default: value }
}

function bigint (name: string): Column {
  return { name, type: 'bigint', notNull: false, default: 0 }
}

function time (name: string): Column {
  return { name, type: 'timestamptz', notNull: false, default: { function: 'now' } }
}
