import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { basename, join } from 'node:path'
import { parseTrace } from './parse-trace.js'
import { TraceRunner } from './trace-runner.js'

interface ReplayTracesOptions {
  /** Trace files, or directories of trace files. */
  paths: string[]
  /** Number of traces that run concurrently, each with its own fleet. */
  jobs: number
  write: (line: string) => void
}

/** Replays traces and writes each expectation that does not hold. The last line is `N passed, N failed`. */
export async function replayTraces ({ paths, jobs, write }: ReplayTracesOptions): Promise<{ passed: number, failed: number }> {
  const files = paths.flatMap(listTraceFiles)
  const counts = { passed: 0, failed: 0 }
  const knownRed = readKnownRed()
  let knownRedCount = 0
  const replayRemaining = async (): Promise<void> => {
    for (let file = files.shift(); file !== undefined; file = files.shift()) {
      const failures = await replayFile(file, write)
      if (failures === 0) counts.passed++
      else if (knownRed.has(basename(file, '.jsonl'))) knownRedCount++
      else counts.failed++
    }
  }
  await Promise.all(Array.from({ length: jobs }, replayRemaining))
  if (knownRedCount > 0) write(`${knownRedCount} known red (KNOWN-RED.txt)`)
  write(`${counts.passed} passed, ${counts.failed} failed`)
  return counts
}

/** Reads the names of the tests with a known failure from the `red: NAME` lines of KNOWN-RED.txt. */
function readKnownRed (): Set<string> {
  const lines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n') : []
  return new Set(lines.filter((line) => line.startsWith('red: ')).map((line) => line.slice(5).trim()))
}

function listTraceFiles (path: string): string[] {
  return statSync(path).isDirectory() ? readdirSync(path).filter((name) => name.endsWith('.jsonl')).sort().map((name) => join(path, name)) : [path]
}

async function replayFile (file: string, write: (line: string) => void): Promise<number> {
  const parsed = parseTrace(readFileSync(file, 'utf8'))
  if (parsed.isErr()) {
    write(`FAILED ${file}: ${parsed.error.message} ${parsed.error.hint}`)
    return 1
  }
  try {
    const { name, outcomes } = await TraceRunner.run(parsed.value)
    const failures = outcomes.filter(({ holds }) => !holds)
    write(`${failures.length === 0 ? 'passed' : 'FAILED'} ${name} (seed ${parsed.value.header.seed}): ${outcomes.length - failures.length} of ${outcomes.length} outcomes hold`)
    for (const { holds, text } of outcomes) if (!holds || process.env['TANAGERUSHER_VERBOSE'] !== undefined) write(`  ${holds ? 'holds' : 'does not hold'}: ${text}`)
    return failures.length
  } catch (error) {
    write(`FAILED ${file}: ${String((error as Error).message ?? error)}`)
    return 1
  }
}
