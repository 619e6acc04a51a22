/** Resources that a process has used. */
export interface ProcessUsage {
  /** Processor time since the start of the process, in ms. */
  cpuMs: number
  residentBytes: number
  /** Bytes that the process has written since its start, including those to sockets. */
  writtenBytes: number
}
