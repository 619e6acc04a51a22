import { unlinkSync, writeFileSync } from 'node:fs'
import type { Command } from 'commander'
import { CommandFailure } from '../client/command-failure.js'
import { readText } from '../client/read-text.js'
import { printResult } from '../output/print-result.js'
import type { CommandContext, OpenContext } from './command-context.js'

interface IssueOptions { name?: string, keyFile?: string, outputFile?: string, overlapSeconds?: string, dryRun: boolean }

interface IssuedKey { key?: string, name: string, version: number }

const OWNER_ONLY_FILE_MODE = 0o600

/**
 * Adds the commands `key issue`, `key reissue`, `key rotate` and `key withdraw`. A key is never passed as an argument, because the
 * arguments of a process are visible to other users of the host.
 */
export function addKeyCommands (program: Command, openContext: OpenContext): void {
  const key = program.command('key').description("issue, rotate and withdraw callers' keys")
  addIssueOptions(key.command('issue <organisation>').description('issue a key; it is written once, to standard output or a file'))
    .option('--name <name>', 'name of the key')
    .action(async (organisation: string, options: IssueOptions) => {
      await runIssue(openContext(), '/v1/keys', { organisation, name: options.name, key: readKey(options) }, options)
    })
  addIssueOptions(key.command('reissue <name>').description('issue a withdrawn key again, in a new generation'))
    .action(async (name: string, options: IssueOptions) => {
      await runIssue(openContext(), `/v1/keys/${encodeURIComponent(name)}/issue`, { key: readKey(options) }, options)
    })
  addIssueOptions(key.command('rotate <organisation>').description('issue a new key; the former ones work until the overlap ends'))
    .option('--overlap-seconds <seconds>', 'time for which the former keys still work', '86400')
    .action(async (organisation: string, options: IssueOptions) => {
      await runIssue(openContext(), `/v1/organisations/${encodeURIComponent(organisation)}/rotate-key`, { key: readKey(options), overlapSeconds: Number(options.overlapSeconds) }, options)
    })
  key.command('withdraw <name>').description('withdraw a key')
    .option('--dry-run', 'check, change nothing', false)
    .action(async (name: string, { dryRun }: { dryRun: boolean }) => {
      const { client, output } = openContext()
      const result = await client.call<Record<string, unknown>>({ method: 'POST', path: `/v1/keys/${encodeURIComponent(name)}/withdraw`, query: { dryRun: dryRun ? 'true' : undefined } })
      printResult(output, result, [result])
    })
}

function addIssueOptions (command: Command): Command {
  return command
    .option('--key-file <file>', 'take the key from this file, - for standard input; a random one is made otherwise')
    .option('--output-file <file>', 'write the key to this file, readable by its owner only')
    .option('--dry-run', 'check, change nothing', false)
}

function readKey ({ keyFile }: IssueOptions): string | undefined {
  return keyFile === undefined ? undefined : readText(keyFile).trim()
}

/** Issues a key. Only the key goes to standard output, so that it can be piped; everything else goes to standard error. */
async function runIssue ({ client, output }: CommandContext, path: string, body: Record<string, unknown>, { outputFile, dryRun }: IssueOptions): Promise<void> {
  const file = outputFile === undefined || dryRun ? undefined : createKeyFile(outputFile)
  const { key, ...keyDetails } = await client.call<IssuedKey>({ method: 'POST', path, body, query: { dryRun: dryRun ? 'true' : undefined } })
    .catch((error: unknown) => {
      if (file !== undefined) unlinkSync(file)
      throw error
    })
  console.error(output === 'json' ? JSON.stringify(keyDetails) : `key ${keyDetails.name}, version ${keyDetails.version}${dryRun ? ' (dry run)' : ''}`)
  if (key === undefined) return
  if (file === undefined) console.log(key)
  else writeFileSync(file, `${key}\n`)
}

/** Creates the output file before the key is issued. Otherwise a failure to write it would lose a key that is already valid. */
function createKeyFile (file: string): string {
  try {
    writeFileSync(file, '', { mode: OWNER_ONLY_FILE_MODE, flag: 'wx' })
    return file
  } catch (cause) {
    throw new CommandFailure('usage', `File ${file} cannot be created: ${String((cause as Error).message)}.`, 'Not run. Remove the file or name another one.')
  }
}
