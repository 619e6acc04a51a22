/** What a process has used since its start. */
export interface ProcessUsage {
  /** Processor time since the start of the process, in ms. */
  cpuMs: number
  residentBytes: number
  /** Bytes that the process wrote, to sockets included. */
  writtenBytes: number
}
