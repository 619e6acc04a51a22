import { writeFileSync } from 'node:fs'
import type { Command } from 'commander'
import { readText } from '../client/read-text.js'
import { printResult } from '../output/print-result.js'
import type { OpenContext } from './command-context.js'

const OWNER_ONLY_FILE_MODE = 0o600

/** Adds the commands `operator`, `snapshot` and `share-table`. */
export function addOperatorCommands (program: Command, openContext: OpenContext): void {
  const operator = program.command('operator').description('operators, their roles and credentials')
  operator.command('put <name>').description('create an operator or give a new credential; it is written once, as name:credential')
    .requiredOption('--role <role>', 'administrator, team or viewer')
    .option('--organisation <organisation>', 'organisation of a team')
    .action(async (name: string, body: { role: string, organisation?: string }) => {
      const { credential } = await openContext().client.call<{ credential: string }>({ method: 'PUT', path: `/v1/operators/${encodeURIComponent(name)}`, body })
      console.log(`${name}:${credential}`)
    })
  operator.command('delete <name>').description('remove an operator').action(async (name: string) => {
    await openContext().client.call({ method: 'DELETE', path: `/v1/operators/${encodeURIComponent(name)}` })
  })
  const snapshot = program.command('snapshot').description('export of the control state')
  snapshot.command('export <file>').description('write the control state to a file, readable by its owner only').action(async (file: string) => {
    const content = await openContext().client.call({ path: '/v1/snapshot' })
    writeFileSync(file, `${JSON.stringify(content, null, 2)}\n`, { mode: OWNER_ONLY_FILE_MODE })
  })
  snapshot.command('diff <file>').description('objects that differ between an export and what is in force').action(async (file: string) => {
    const { client, output } = openContext()
    const { differences } = await client.call<{ differences: Array<Record<string, unknown>> }>({ method: 'POST', path: '/v1/snapshot/diff', body: JSON.parse(readText(file)) })
    printResult(output, differences, differences)
  })
  program.command('share-table').description('hosts that own shares of all rates and bursts')
    .option('--reset', 'replace the table when a majority of its hosts is permanently lost, and only after the processes of those hosts have ended', false)
    .action(async ({ reset }: { reset: boolean }) => {
      const { client, output } = openContext()
      const result = await client.call<{ table: { hosts: Array<Record<string, unknown>> } | null }>(reset ? { method: 'POST', path: '/v1/share-table/reset' } : { path: '/v1/share-table' })
      printResult(output, result, result.table?.hosts ?? [])
    })
}
