import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { type ExperimentResult, experimentResultSchema } from './experiment-result.js'
import { writePage } from './write-page.js'

/** Writes a result as JSON into a directory, and the HTML page of all results in that directory. Returns both paths. */
export function writeResults (directory: string, result: ExperimentResult): { json: string, page: string } {
  mkdirSync(directory, { recursive: true })
  const json = join(directory, `${result.experiment}.json`)
  writeFileSync(json, JSON.stringify(experimentResultSchema.parse(result), null, 2) + '\n')
  return { json, page: writePage(directory) }
}
