import type { TableDefinition } from '../ledger/table-definition.js'

type Column = TableDefinition['columns'][number]

/** Tables of the two workloads, and the table of idempotency records. */
export const defaultTables: TableDefinition[] = [
  defineTable('payment', [buildTextColumn('stallholder'), buildBigintColumn('amount'), buildTimestampColumn('paid_at')]),
  defineTable('toll_payment', [buildTextColumn('stallholder'), buildBigintColumn('amount'), buildTimestampColumn('paid_at')]),
  defineTable('pitch_log', [buildTextColumn('pitch'), buildTextColumn('note'), buildTimestampColumn('logged_at')]),
  defineTable('purchase_order', [
    buildTextColumn('buyer'), buildTextColumn('item'), buildBigintColumn('quantity'),
    buildTextColumn('state', 'placed'), buildTimestampColumn('placed_at')
  ]),
  defineTable('blank_order', [
    buildTextColumn('buyer'), buildTextColumn('item'), buildBigintColumn('quantity'),
    buildTextColumn('state', 'placed'), buildTimestampColumn('placed_at')
  ]),
  defineTable('stock', [buildTextColumn('item'), buildBigintColumn('quantity'), buildTextColumn('note')]),
  defineTable('stock_check', [buildTextColumn('item'), buildBigintColumn('quantity'), buildTimestampColumn('checked_at')]),
  defineTable('hide_log', [buildTextColumn('hide'), buildBigintColumn('blanks'), buildTimestampColumn('cut_at')]),
  {
    name: 'tanagerusher_request',
    columns: [
      { ...buildTextColumn('idempotency_key'), notNull: true },
      buildTextColumn('digest'), buildTextColumn('response'), buildTimestampColumn('created_at')
    ],
    primaryKey: ['idempotency_key'],
    indexes: [],
    rows: []
  }
]

/** Builds a workload table: every row has an identifier, and the session and organisation that wrote it. */
function defineTable (name: string, columns: Column[]): TableDefinition {
  const common = [{ ...buildTextColumn('id'), notNull: true }, buildTextColumn('session'), buildTextColumn('organisation')]
  return { name, columns: [...common, ...columns], primaryKey: ['id'], indexes: ['session'], rows: [] }
}

function buildTextColumn (name: string, value: string | null = null): Column {
  return { name, type: 'text', notNull: false, default: value }
}

function buildBigintColumn (name: string): Column {
  return { name, type: 'bigint', notNull: false, default: 0 }
}

function buildTimestampColumn (name: string): Column {
  return { name, type: 'timestamptz', notNull: false, default: { function: 'now' } }
}
