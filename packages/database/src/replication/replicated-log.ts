import type { Position } from '@tanagerusher/state/position/position'
import type { Undo } from '../ledger/ledger.js'
import type { LogEntry } from './log-entry.js'
import type { TermStart } from './term-start.js'

/** Log of one database, with what undoes each entry. */
export class ReplicatedLog {
  readonly #entries: LogEntry[] = []
  readonly #undos: Undo[][] = []
  readonly #history: TermStart[] = []

  static create (): ReplicatedLog {
    return new ReplicatedLog()
  }

  get position (): number { return this.#entries.length }

  get last (): Position {
    return { term: this.#history.at(-1)?.term ?? 0, position: this.position }
  }

  /** Position of the first entry of the log's term. */
  get termStart (): number { return this.#history.at(-1)?.start ?? 0 }

  append (entry: LogEntry, undo: Undo[]): void {
    this.#entries.push(entry)
    this.#undos.push(undo)
    if (entry.term !== this.last.term) this.#history.push({ term: entry.term, start: this.position })
  }

  /** Removes the entries after `position` and returns how to undo them, last entry first. */
  truncate (position: number): Undo[] {
    const undos = this.#undos.splice(position).reverse().flat()
    this.#entries.length = Math.min(this.#entries.length, position)
    while ((this.#history.at(-1)?.start ?? 0) > position) this.#history.pop()
    return undos
  }

  /** Up to `limit` entries after `position`. */
  readAfter (position: number, limit: number): LogEntry[] {
    return this.#entries.slice(position, position + limit)
  }

  listHistory (): TermStart[] {
    return this.#history.map((item) => ({ ...item }))
  }
}
