import { join } from 'node:path'
import { Platform } from './platform.mjs'

/** Exit codes of a case. */
const HELD = 0
const BROKEN = 1
const NOT_RUN = 2
const MAX_DURATION_MS = 110_000

/**
 * Runs a case and ends the process. `play` gets the platform and whether the disruption takes place, and returns the breaks of the rule
 * as lines of text, or throws when the case could not be played.
 */
export async function runCase ({ folder, site, play }) {
  let platform
  const end = (code) => {
    platform?.record.write(join(folder, 'record.txt'))
    platform?.close()
    process.exit(code)
  }
  const endUnplayed = (error) => {
    platform?.record.add('RESULT', `not run: ${error.message}`)
    console.log(`the case could not run: ${error.message}`)
    end(NOT_RUN)
  }
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, endUnplayed)
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { endUnplayed(new Error(`ended by ${signal}`)) })
  setTimeout(() => { endUnplayed(new Error('it took too long')) }, MAX_DURATION_MS)
  try {
    platform = await Platform.open(site)
    const breaks = await play(platform, process.env.TROUBLE !== '0')
    for (const line of breaks) platform.record.add('RESULT', line)
    if (breaks.length === 0) platform.record.add('RESULT', 'the rule held')
    console.log(breaks.length === 0 ? 'the rule held' : `the rule was broken:\n${breaks.slice(0, 10).join('\n')}`)
    end(breaks.length === 0 ? HELD : BROKEN)
  } catch (error) {
    endUnplayed(error)
  }
}
