/** Formats rows as a table with aligned columns; the fields of the first row name the columns. */
export function formatTable (rows: ReadonlyArray<Record<string, unknown>>): string {
  const columns = Object.keys(rows[0] ?? {})
  const lines = [columns.map((column) => column.toUpperCase()), ...rows.map((row) => columns.map((column) => formatCell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => (line[index] as string).length)))
  return lines.map((line) => line.map((cell, index) => cell.padEnd(widths[index] as number)).join('  ').trimEnd()).join('\n')
}

function formatCell (value: unknown): string {
  if (value === null || value === undefined) return '-'
  if (typeof value === 'number') return Number.isInteger(value) ? String(value) : value.toFixed(2)
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
