import type { Command } from 'commander'
import { CommandFailure } from '../client/command-failure.js'
import { printResult } from '../output/print-result.js'
import { findResource } from '../resources/find-resource.js'
import { listDifferences } from '../resources/list-differences.js'
import type { Difference } from '../resources/difference.js'
import { readDocuments } from '../resources/read-documents.js'
import type { Document } from '../resources/document.js'
import type { CommandContext, OpenContext } from './command-context.js'

interface StoredObject { kind: string, name: string, version: number, value: Record<string, unknown> }

const HIDDEN_PASSWORD = '(hidden)'
/** Exit code of `diff` when the file and the objects in force differ. */
const DIFFERENCES_EXIT_CODE = 9

/** Adds the commands `get`, `apply`, `diff` and `delete` for organisations, groups and catalogue entries. */
export function addObjectCommands (program: Command, openContext: OpenContext): void {
  program.command('get <kind> [name]').description('show objects: organisations, groups, entries, keys, operators')
    .action(async (kind: string, name: string | undefined) => { await runGet(openContext(), kind, name) })
  program.command('apply').description('create or change the objects of a file; unchanged ones are left alone')
    .requiredOption('-f, --file <file>', 'JSON file with {kind, name, value} objects, - for standard input')
    .option('--dry-run', 'check and show, change nothing', false)
    .action(async ({ file, dryRun }: { file: string, dryRun: boolean }) => { await runApply(openContext(), file, dryRun) })
  program.command('diff').description(`show how a file differs from what is in force; exit code ${DIFFERENCES_EXIT_CODE} when it does`)
    .requiredOption('-f, --file <file>', 'JSON file, - for standard input')
    .action(async ({ file }: { file: string }) => { await runDiff(openContext(), file) })
  program.command('delete <kind> <name>').description('remove an object')
    .option('--dry-run', 'check, change nothing', false)
    .action(async (kind: string, name: string, { dryRun }: { dryRun: boolean }) => { await runDelete(openContext(), kind, name, dryRun) })
}

async function runGet ({ client, output }: CommandContext, kind: string, name: string | undefined): Promise<void> {
  const path = kind.startsWith('key') ? '/v1/keys' : kind.startsWith('operator') ? '/v1/operators' : findResource(kind).path
  const items = name === undefined ? await client.list<Record<string, unknown>>(path) : [await client.call<Record<string, unknown>>({ path: `${path}/${encodeURIComponent(name)}` })]
  printResult(output, name === undefined ? items : items[0], items.map(flattenItem))
}

function flattenItem ({ kind, value, ...item }: Record<string, unknown>): Record<string, unknown> {
  return { ...item, ...(value as object | undefined) }
}

async function runApply ({ client, output }: CommandContext, file: string, dryRun: boolean): Promise<void> {
  const results: Array<Record<string, unknown>> = []
  for (const document of readDocuments(file)) {
    const existing = await findExisting(client, document)
    const differences = compareDocument(existing, document)
    const { kind, name, value } = document
    const path = `${findResource(kind).path}/${encodeURIComponent(name)}`
    const isUnchanged = existing !== undefined && differences.length === 0
    const written = isUnchanged
      ? existing
      : await client.call<StoredObject>({ method: 'PUT', path, body: value, expectedVersion: existing?.version ?? 0, query: { dryRun: dryRun ? 'true' : undefined } })
    results.push({ kind, name, result: (isUnchanged ? 'unchanged' : existing === undefined ? 'created' : 'changed') + (dryRun ? ' (dry run)' : ''), version: written.version })
  }
  printResult(output, results, results)
}

async function runDiff ({ client, output, setExitCode }: CommandContext, file: string): Promise<void> {
  const rows: Array<Record<string, unknown>> = []
  for (const document of readDocuments(file)) {
    const differences = compareDocument(await findExisting(client, document), document)
    rows.push(...differences.map(({ path, from, to }) => ({ object: `${document.kind}/${document.name}`, path, 'in force': from, file: to })))
  }
  printResult(output, rows, rows)
  if (rows.length > 0) setExitCode(DIFFERENCES_EXIT_CODE)
}

async function runDelete ({ client, output }: CommandContext, kind: string, name: string, dryRun: boolean): Promise<void> {
  const path = `${findResource(kind).path}/${encodeURIComponent(name)}`
  const { version } = await client.call<StoredObject>({ path })
  const result = await client.call<Record<string, unknown>>({ method: 'DELETE', path, expectedVersion: version, query: { dryRun: dryRun ? 'true' : undefined } })
  printResult(output, result, [result])
}

async function findExisting (client: CommandContext['client'], { kind, name }: Document): Promise<StoredObject | undefined> {
  try {
    return await client.call<StoredObject>({ path: `${findResource(kind).path}/${encodeURIComponent(name)}` })
  } catch (error) {
    if (error instanceof CommandFailure && error.kind === 'object-unknown') return undefined
    throw error
  }
}

/**
 * Lists the differences between an existing object and a document. The server hides passwords, so a password that the file omits
 * counts as unchanged and one that it contains counts as different.
 */
function compareDocument (existing: StoredObject | undefined, { value, valueBeforeDefaults }: Document): Difference[] {
  if (existing === undefined) return [{ path: '', from: undefined, to: value }]
  const isPasswordKept = value.password !== undefined && valueBeforeDefaults.password === undefined
  return listDifferences(existing.value, isPasswordKept ? { ...value, password: HIDDEN_PASSWORD } : value)
}
