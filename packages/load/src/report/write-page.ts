import { readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { experimentResultSchema } from './experiment-result.js'
import { formatReport } from './format-report.js'

/** Writes the HTML page of all results in a directory. Returns its path. */
export function writePage (directory: string): string {
  const files = readdirSync(directory).filter((file) => file.endsWith('.json')).sort()
  const results = files.map((file) => experimentResultSchema.safeParse(JSON.parse(readFileSync(join(directory, file), 'utf8'))))
  const page = join(directory, 'report.html')
  writeFileSync(page, formatReport(results.flatMap(({ data }) => data ?? [])))
  return page
}
