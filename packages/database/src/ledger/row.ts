import type { Value } from './value.js'

export interface Row {
  readonly values: readonly Value[]
  /** Log position of the entry that wrote the row. */
  readonly position: number
}
