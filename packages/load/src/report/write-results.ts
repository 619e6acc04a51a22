import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { type ExperimentResult, experimentResultSchema } from './experiment-result.js'
import { formatReport } from './format-report.js'

/** Writes a result as JSON into a directory, and the page over all results of that directory. Returns their paths. */
export function writeResults (directory: string, result: ExperimentResult): { json: string, page: string } {
  mkdirSync(directory, { recursive: true })
  const json = join(directory, `${result.experiment}.json`)
  writeFileSync(json, JSON.stringify(experimentResultSchema.parse(result), null, 2) + '\n')
  const page = join(directory, 'report.html')
  const files = readdirSync(directory).filter((file) => file.endsWith('.json')).sort()
  const results = files.map((file) => experimentResultSchema.safeParse(JSON.parse(readFileSync(join(directory, file), 'utf8'))))
  writeFileSync(page, formatReport(results.flatMap(({ data }) => data ?? [])))
  return { json, page }
}
