import { Command, Option } from 'commander'
import { ApiClient } from './client/api-client.js'
import { readText } from './client/read-text.js'
import { addFleetCommands } from './commands/add-fleet-commands.js'
import { addHelpCommands } from './commands/add-help-commands.js'
import { addKeyCommands } from './commands/add-key-commands.js'
import { addObjectCommands } from './commands/add-object-commands.js'
import { addOperatorCommands } from './commands/add-operator-commands.js'
import { addPlacementCommands } from './commands/add-placement-commands.js'

interface Flags { server: string, credentialFile?: string, output: string }

const VERSION = '0.1.0'

/** Creates the `tanagerusherctl` program with all its commands and options. */
export function createProgram (setExitCode: (code: number) => void): Command {
  const program = new Command('tanagerusherctl')
    .description("Operators' command line of Tanagerusher")
    .version(VERSION)
    .addOption(new Option('--server <url>', 'administration API of any host').env('TANAGERUSHER_SERVER').default('http://127.0.0.1:7180'))
    .addOption(new Option('--credential-file <file>', 'file with name:credential of the operator').env('TANAGERUSHER_CREDENTIAL_FILE'))
    .addOption(new Option('--output <format>', 'output format').choices(['table', 'json']).default('table'))
    .exitOverride()
  const openContext = () => {
    const { server, credentialFile, output } = program.opts<Flags>()
    const credential = credentialFile === undefined ? undefined : readText(credentialFile).trim()
    return { client: ApiClient.create({ server, credential }), output, setExitCode }
  }
  addObjectCommands(program, openContext)
  addKeyCommands(program, openContext)
  addFleetCommands(program, openContext)
  addOperatorCommands(program, openContext)
  addPlacementCommands(program, openContext)
  addHelpCommands(program)
  return program
}
