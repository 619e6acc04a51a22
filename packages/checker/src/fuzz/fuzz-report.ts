/** Number of inputs tried per target, and the faults found. */
export interface FuzzReport {
  tried: Record<string, number>
  faults: Array<{ target: string, input: string, error: string }>
}
