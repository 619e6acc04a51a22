/** Inputs tried and faults found. */
export interface HostileReport {
  tried: Record<string, number>
  faults: Array<{ target: string, input: string, error: string }>
}
