import type { Position } from '@tanagerusher/state/position/position'
import type { Undo } from '../ledger/ledger.js'
import type { LogEntry } from './log-entry.js'
import type { TermStart } from './term-start.js'

/** Log of one database, with the undo data of each entry. */
export class ReplicatedLog {
  readonly #entries: LogEntry[] = []
  readonly #undos: Undo[] = []
  readonly #history: TermStart[] = []

  static create (): ReplicatedLog {
    return new ReplicatedLog()
  }

  get position (): number { return this.#entries.length }

  get last (): Position {
    return { term: this.#history.at(-1)?.term ?? 0, position: this.position }
  }

  /** Position of the first entry of the log's last term. */
  get termStart (): number { return this.#history.at(-1)?.start ?? 0 }

  append (entry: LogEntry, undo: Undo): void {
    this.#entries.push(entry)
    this.#undos.push(undo)
    if (entry.term !== this.last.term) this.#history.push({ term: entry.term, start: this.position })
  }

  /** Removes the entries after `position` and returns them with their undo data, the last entry first. */
  truncate (position: number): Array<{ entry: LogEntry, undo: Undo }> {
    const undos = this.#undos.splice(position)
    const removed = this.#entries.splice(position).map((entry, index) => ({ entry, undo: undos[index] as Undo }))
    while ((this.#history.at(-1)?.start ?? 0) > position) this.#history.pop()
    return removed.reverse()
  }

  /** Returns up to `limit` entries after `position`. */
  readAfter (position: number, limit: number): LogEntry[] {
    return this.#entries.slice(position, position + limit)
  }

  listHistory (): TermStart[] {
    return this.#history.map((item) => ({ ...item }))
  }
}
