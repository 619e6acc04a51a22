import { readFileSync } from 'node:fs'
import { CommandFailure } from './command-failure.js'

const STANDARD_INPUT_DESCRIPTOR = 0

/** Returns the content of a file, or of standard input for `-`. */
export function readText (file: string): string {
  try {
    return readFileSync(file === '-' ? STANDARD_INPUT_DESCRIPTOR : file, 'utf8')
  } catch (cause) {
    throw new CommandFailure('usage', `File ${file} cannot be read: ${String((cause as Error).message)}.`, 'Check the name of the file, or use - for standard input.')
  }
}
