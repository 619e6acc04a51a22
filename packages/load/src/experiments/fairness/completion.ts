export interface Completion {
  organisation: string
  dueMs: number
  /** Absent when the request was refused or its deadline passed. */
  endMs?: number
}
