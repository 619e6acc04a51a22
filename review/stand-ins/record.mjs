import { writeFileSync } from 'node:fs'

/** Chronological record of a run: what was sent, answered and run. Times are in ms since the start. */
export class Record {
  #startedAt = performance.now()
  #lines = []

  static create () {
    return new Record()
  }

  readTime () {
    return performance.now() - this.#startedAt
  }

  add (source, text) {
    this.#lines.push(`${this.readTime().toFixed(0).padStart(7)} ${source.padEnd(10)} ${text}`)
  }

  write (file) {
    writeFileSync(file, this.#lines.join('\n') + '\n')
  }
}
