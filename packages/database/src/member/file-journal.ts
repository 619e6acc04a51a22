import { closeSync, existsSync, ftruncateSync, mkdirSync, openSync, readFileSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { Packr } from 'msgpackr'
import type { Journal, JournalRecord } from './journal.js'

const LENGTH_BYTES = 4

/** Journal in one file of a data directory. It survives the end of the process but not a power failure, because it does not call fsync. */
export class FileJournal implements Journal {
  readonly #packr = new Packr({ useRecords: false })
  readonly #file: string
  readonly #descriptor: number

  private constructor (file: string) {
    this.#file = file
    this.#descriptor = openSync(file, 'a+')
  }

  static open (directory: string, database: string): FileJournal {
    mkdirSync(directory, { recursive: true })
    return new FileJournal(join(directory, `${database}.journal`))
  }

  /** Reads all records and removes an incomplete last record, which remains when the process ends during a write. */
  read (): JournalRecord[] {
    const bytes = existsSync(this.#file) ? readFileSync(this.#file) : Buffer.alloc(0)
    const records: JournalRecord[] = []
    let offset = 0
    while (offset + LENGTH_BYTES <= bytes.length) {
      const end = offset + LENGTH_BYTES + bytes.readUInt32BE(offset)
      if (end > bytes.length) break
      records.push(this.#packr.unpack(bytes.subarray(offset + LENGTH_BYTES, end)) as JournalRecord)
      offset = end
    }
    if (offset < bytes.length) ftruncateSync(this.#descriptor, offset)
    return records
  }

  append (record: JournalRecord): void {
    const body = this.#packr.pack(record)
    const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
    bytes.writeUInt32BE(body.length)
    body.copy(bytes, LENGTH_BYTES)
    writeSync(this.#descriptor, bytes)
  }

  close (): void {
    closeSync(this.#descriptor)
  }
}
