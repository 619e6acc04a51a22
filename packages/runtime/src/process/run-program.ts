import { readFileSync } from 'node:fs'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { Command } from 'commander'
import type { z } from 'zod'
import { parseSettings } from '../settings/parse-settings.js'
import { exitCodes } from './exit-codes.js'

/** Something that runs until it is closed. `close` is a graceful shutdown. */
interface Service<Settings> {
  close(): Promise<void>
  /** Takes changed settings, after SIGHUP or when the file has changed. Without it a change waits for the next start. */
  reload?(settings: Settings): void
}

interface RunProgramOptions<Schema extends z.ZodType> {
  name: string
  description: string
  schema: Schema
  /** Used when the command line names no settings file. */
  defaultConfigFile?: string | undefined
  start: (settings: z.infer<Schema>) => Promise<Service<z.infer<Schema>>>
}

const VERSION = '0.1.0'
/** Small beside every bound on how soon a change of the settings must be in force. */
const SETTINGS_CHECK_MS = 1000

/**
 * Command line of a server program: `--config FILE`, `--check-config`, `--help`, `--version`. The first SIGTERM or
 * SIGINT starts the graceful shutdown; a second one ends the process at once.
 */
export async function runProgram<Schema extends z.ZodType> (options: RunProgramOptions<Schema>): Promise<void> {
  const command = new Command(options.name)
    .description(options.description)
    .version(VERSION)
    .option('--config <file>', 'settings file (JSON)', options.defaultConfigFile)
    .option('--check-config', 'check the settings and exit', false)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? exitCodes.success : exitCodes.usage))
  const flags = command.parse().opts<{ config?: string, checkConfig: boolean }>()
  if (flags.config === undefined) return command.error("error: required option '--config <file>' not specified")
  const settings = loadSettings(options.schema, flags.config)
  if (flags.checkConfig) {
    console.log('settings are valid')
    return
  }
  const service = await options.start(settings)
  stopOnSignal(service)
  reloadOnChange(options.schema, flags.config, service)
}

/** Settings may change without a signal, and SIGHUP ends a process that does not handle it. */
function reloadOnChange<Schema extends z.ZodType> (schema: Schema, file: string, service: Service<z.infer<Schema>>): void {
  let known = readFileSync(file, 'utf8')
  const check = (): void => {
    try {
      const text = readFileSync(file, 'utf8')
      if (text === known) return
      known = text
      const parsed = parseSettings(schema, text)
      if (parsed.isOk()) service.reload?.(parsed.value)
      else console.error(`${parsed.error.message} ${parsed.error.hint} The settings in force stay.`)
    } catch (error) {
      console.error(`The settings file cannot be read: ${String(error)}. The settings in force stay.`)
    }
  }
  process.on('SIGHUP', check)
  setInterval(check, SETTINGS_CHECK_MS).unref()
}

function loadSettings<Schema extends z.ZodType> (schema: Schema, file: string): z.infer<Schema> {
  try {
    const parsed = parseSettings(schema, readFileSync(file, 'utf8'))
    if (parsed.isOk()) return parsed.value
    exitWithSettingsError(parsed.error)
  } catch (cause) {
    exitWithSettingsError(TanagerusherError.create('settings-invalid', { details: { path: file, found: String(cause) }, cause }))
  }
}

function exitWithSettingsError (error: TanagerusherError): never {
  console.error(`${error.message} ${error.hint}`)
  process.exit(exitCodes.settingsInvalid)
}

function stopOnSignal (service: Pick<Service<unknown>, 'close'>): void {
  let stopping = false
  const handleSignal = (): void => {
    if (stopping) process.exit(exitCodes.interrupted)
    stopping = true
    service.close().then(() => process.exit(exitCodes.success), () => process.exit(exitCodes.failure))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
