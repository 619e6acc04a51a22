// Demonstration on real processes: `npm run demo`, or `npm run demo -- --seed 7`. Exit code 0 only if all outcomes hold.
import process from 'node:process'
import { parseArgs } from 'node:util'
import { runDemo } from '@tanagerusher/load/demo/run-demo'

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } })
const succeeded = await runDemo({ seed: Number(values.seed), write: (line) => { console.log(line) } })
process.exitCode = succeeded ? 0 : 1
