import { CommanderError } from 'commander'
import { CommandFailure } from './client/command-failure.js'
import { findExitCode } from './client/find-exit-code.js'
import { createProgram } from './create-program.js'

try {
  await createProgram((code) => { process.exitCode = code }).parseAsync()
} catch (error) {
  process.exitCode = reportFailure(error)
}

function reportFailure (error: unknown): number {
  if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : findExitCode('usage')
  const { kind, message, remedy } = error instanceof CommandFailure ? error : new CommandFailure('internal', String(error), 'Repeat with the same arguments and report the message.')
  console.error(`${kind}: ${message}${remedy === '' ? '' : `\n${remedy}`}`)
  return findExitCode(kind)
}
