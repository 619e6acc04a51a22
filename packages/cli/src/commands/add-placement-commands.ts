import { Option, type Command } from 'commander'
import { ApiClient } from '../client/api-client.js'
import { printResult } from '../output/print-result.js'
import type { OpenContext } from './command-context.js'

interface Flags { host: string, organisation?: string, access: string }

interface Explanation {
  choice: { type: 'chosen', database: string } | { type: 'refused', reason: string } | { type: 'none' }
  homeRegions: { entry: string[], organisation: string[] }
  permittedRegions: string[] | null
  catalogueVersion: number
  confirmationAgeMs: number
  databases: Array<Record<string, unknown>>
  hosts: Array<Record<string, unknown>>
}

/** Adds the command `placement`. */
export function addPlacementCommands (program: Command, openContext: OpenContext): void {
  program.command('placement <database>').description('where a host of the platform would send an operation now, and why')
    .addOption(new Option('--host <url>', 'metrics endpoint of the host').default('http://127.0.0.1:9464'))
    .option('--organisation <organisation>', 'organisation of the caller; none for callers without a key')
    .addOption(new Option('--access <access>', 'kind of operation').choices(['read', 'write']).default('read'))
    .action(async (database: string, { host, organisation, access }: Flags) => {
      // The credential of the operator is for the administration API and is not sent to the metrics endpoint.
      const client = ApiClient.create({ server: host, credential: undefined })
      const explanation = await client.call<Explanation>({ path: '/explain', query: { database, organisation, access } })
      const { output } = openContext()
      if (output === 'table') console.log(formatChoice(explanation))
      printResult(output, explanation, explanation.databases.map(formatRow))
      if (output === 'table' && explanation.hosts.length > 0) printResult(output, explanation, explanation.hosts.map(formatRow))
    })
}

function formatChoice ({ choice, homeRegions: { entry, organisation }, permittedRegions, catalogueVersion, confirmationAgeMs }: Explanation): string {
  const outcome = choice.type === 'chosen' ? `runs at ${choice.database}` : choice.type === 'refused' ? `is refused: ${choice.reason}` : 'waits: no usable database is known'
  const regions = permittedRegions === null ? 'any' : `${permittedRegions.join(', ') || 'none'} (entry: ${entry.join(', ') || 'any'}; organisation: ${organisation.join(', ') || 'any'})`
  return `The operation ${outcome}\nregions    ${regions}\ncatalogue  version ${catalogueVersion}, confirmed ${confirmationAgeMs} ms ago\n`
}

/** Every row has all columns, since the table takes its columns from the first one. */
function formatRow (row: Record<string, unknown>): Record<string, unknown> {
  return { ...row, excludedBy: row.excludedBy ?? '-' }
}
