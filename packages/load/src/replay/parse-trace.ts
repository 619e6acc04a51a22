import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'
import { findWorkload } from '../workload/find-workload.js'
import type { Trace } from './trace.js'
import { type TraceLine, traceLineSchema } from './trace-line.js'

/** Parses a trace from JSON lines. The error `trace-invalid` contains the number of the invalid line and the problem. */
export function parseTrace (text: string): Result<Trace, TanagerusherError> {
  const trace: Partial<Trace> & Pick<Trace, 'events' | 'expectations'> = { events: [], expectations: [] }
  for (const [index, source] of text.split('\n').entries()) {
    if (source.trim() === '') continue
    const problem = addLine(trace, source)
    if (problem !== undefined) return err(TanagerusherError.create('trace-invalid', { details: { line: index + 1, found: problem } }))
  }
  const { header, events, expectations } = trace
  if (header === undefined) return err(TanagerusherError.create('trace-invalid', { details: { line: 1, found: 'the trace is empty' } }))
  if (expectations.length === 0) return err(TanagerusherError.create('trace-invalid', { details: { line: text.split('\n').length, found: 'no outcome is stated' } }))
  return ok({ header, events: events.sort((left, right) => left.atMs - right.atMs), expectations })
}

/** Adds a line to the trace. Returns a description of the problem when the line is invalid. */
function addLine (trace: Partial<Trace> & Pick<Trace, 'events' | 'expectations'>, source: string): string | undefined {
  const document = parseJson(source)
  if (document === undefined) return 'it is not JSON'
  const parsed = traceLineSchema.safeParse(document)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    return `${issue?.path.join('.') || 'line'}: ${issue?.message}`
  }
  return addParsedLine(trace, parsed.data)
}

function addParsedLine (trace: Partial<Trace> & Pick<Trace, 'events' | 'expectations'>, line: TraceLine): string | undefined {
  if (line.type === 'trace') {
    if (trace.header !== undefined) return 'a trace has one header'
    trace.header = line
    return undefined
  }
  if (trace.header === undefined) return 'the first line must have the type trace'
  const problem = findUnknownName(trace.header.deployment, line)
  if (problem !== undefined) return problem
  if (line.type === 'expect') trace.expectations.push(line)
  else trace.events.push(line)
  return undefined
}

function findUnknownName (deployment: string, line: TraceLine): string | undefined {
  const workload = findWorkload(deployment)
  const { organisation, class: callerClass } = line as { organisation?: string, class?: string }
  if (organisation !== undefined && !workload?.organisations.some(({ name }) => name === organisation)) return `organisation: ${deployment} has no ${organisation}`
  if (callerClass !== undefined && !workload?.classes.some(({ name }) => name === callerClass)) return `class: ${deployment} has no ${callerClass}`
  return undefined
}

function parseJson (source: string): unknown {
  try {
    return JSON.parse(source)
  } catch {
    return undefined
  }
}
