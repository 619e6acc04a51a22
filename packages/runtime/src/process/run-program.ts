import { readFileSync } from 'node:fs'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { Command } from 'commander'
import type { z } from 'zod'
import { parseSettings } from '../settings/parse-settings.js'
import { exitCodes } from './exit-codes.js'

/** A service that runs until it is closed. `close` shuts it down gracefully. */
interface Service<Settings> {
  close(): Promise<void>
  /** Applies changed settings, on SIGHUP or when the file has changed. Without this method a change takes effect at the next start. */
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
/** Much shorter than any bound on the time within which changed settings must be in force. */
const SETTINGS_CHECK_INTERVAL_MS = 1000

/**
 * Runs a server program from its command line: `--config FILE`, `--check-config`, `--help`, `--version`. The first SIGTERM or
 * SIGINT starts the graceful shutdown; a second one terminates the process immediately.
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

/**
 * Checks the file for changes on SIGHUP, which would terminate the process if it had no handler, and at a fixed interval, because
 * the file may change without a signal.
 */
function reloadOnChange<Schema extends z.ZodType> (schema: Schema, file: string, service: Service<z.infer<Schema>>): void {
  let lastText = readFileSync(file, 'utf8')
  const reloadIfChanged = (): void => {
    try {
      const text = readFileSync(file, 'utf8')
      if (text === lastText) return
      lastText = text
      const parsed = parseSettings(schema, text)
      if (parsed.isOk()) service.reload?.(parsed.value)
      else console.error(`${parsed.error.message} ${parsed.error.hint} Keeping the current settings.`)
    } catch (error) {
      console.error(`The settings file cannot be read: ${String(error)}. Keeping the current settings.`)
    }
  }
  process.on('SIGHUP', reloadIfChanged)
  setInterval(reloadIfChanged, SETTINGS_CHECK_INTERVAL_MS).unref()
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
  let isStopping = false
  const handleSignal = (): void => {
    if (isStopping) process.exit(exitCodes.interrupted)
    isStopping = true
    service.close().then(() => process.exit(exitCodes.success), () => process.exit(exitCodes.failure))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
