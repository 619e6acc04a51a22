export interface Completion {
  organisation: string
  dueMs: number
  /** Absent when the request was refused, its deadline passed, or the case ended first. */
  endMs?: number
}
