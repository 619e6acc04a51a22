import { createWriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2
/** Ends a case that hangs before the limit of 120 s. */
const LIMIT_MS = 110_000

/**
 * Runs one case and exits with its result. `run` gets `{ hasTrouble, record, resources }`, adds what it opens to `resources`, and returns
 * the violations of the rule.
 */
export async function runCase (folder, run) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  const stream = createWriteStream(file, { flags: 'a' })
  const startedAt = performance.now()
  const record = (text) => { stream.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`) }
  const resources = []
  const hasTrouble = process.env.TROUBLE !== '0'
  let code
  const limit = new Promise((resolve, reject) => { setTimeout(() => { reject(new Error('the case took too long')) }, LIMIT_MS).unref() })
  try {
    const violations = await Promise.race([run({ hasTrouble, record, resources }), limit])
    for (const violation of violations) record(`RULE BROKEN: ${violation}`)
    console.log(violations.length === 0 ? 'the rule held' : `the rule was broken ${violations.length} times, first: ${violations[0]}`)
    code = violations.length === 0 ? HELD : BROKEN
  } catch (error) {
    record(`could not run: ${error.message}`)
    console.log(`the case could not run: ${error.message}`)
    code = COULD_NOT_RUN
  }
  for (const resource of resources.reverse()) await resource.close()
  await new Promise((resolve) => { stream.end(resolve) })
  process.exit(code)
}
