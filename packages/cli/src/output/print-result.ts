import { formatTable } from './format-table.js'

/** Writes `result` to standard output as JSON when `output` is `json`, and otherwise `rows` as a table. */
export function printResult (output: string, result: unknown, rows: ReadonlyArray<Record<string, unknown>>): void {
  if (output === 'json') console.log(JSON.stringify(result, null, 2))
  else console.log(rows.length === 0 ? 'none' : formatTable(rows))
}
