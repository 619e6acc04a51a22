import { readFileSync } from 'node:fs'
import type { ProcessUsage } from './process-usage.js'

const TICKS_PER_SECOND = 100
const BYTES_PER_KILOBYTE = 1024

/** Reads the resource usage of a process from the proc file system. */
export function readProcessUsage (processId: number): ProcessUsage {
  const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const status = readFileSync(`/proc/${processId}/status`, 'utf8')
  const written = /wchar: (\d+)/.exec(readFileSync(`/proc/${processId}/io`, 'utf8'))?.[1]
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND,
    residentBytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) * BYTES_PER_KILOBYTE,
    writtenBytes: Number(written)
  }
}
