import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { backendMessageTypes } from './backend-message-types.js'
import type { ResponseHandler } from './response-handler.js'
import { readErrorFields } from './read-error-fields.js'
import type { ErrorFields } from './error-fields.js'
import type { CollectedRows } from './collected-rows.js'

export type Row = Record<string, string | null>

type Settle = (result: CollectedRows | { closed: string }) => void

/** Collects the rows of a statement of the pool itself. Results for callers go through `ResultRelay`. */
export class RowCollector implements ResponseHandler {
  readonly #settle: Settle
  readonly #rows: Row[] = []
  #names: string[] = []
  #error: ErrorFields | undefined

  private constructor (settle: Settle) {
    this.#settle = settle
  }

  static create (settle: Settle): RowCollector {
    return new RowCollector(settle)
  }

  handleMessage (type: number, message: Buffer): void {
    if (type === backendMessageTypes.rowDescription) this.#names = readColumnNames(message)
    else if (type === backendMessageTypes.dataRow) this.#rows.push(readRow(message, this.#names))
    else if (type === backendMessageTypes.error) this.#error ??= readErrorFields(message)
  }

  handleReady (status: TransactionStatus): void {
    this.#settle({ rows: this.#rows, error: this.#error, status })
  }

  handleClose (reason: string): void {
    this.#settle({ closed: reason })
  }
}

function readColumnNames (message: Buffer): string[] {
  const names: string[] = []
  let offset = 7
  for (let count = message.readInt16BE(5); count > 0; count--) {
    const end = message.indexOf(0, offset)
    names.push(message.toString('utf8', offset, end))
    offset = end + 19
  }
  return names
}

function readRow (message: Buffer, names: readonly string[]): Row {
  const row: Row = {}
  let offset = 7
  for (let column = 0; column < message.readInt16BE(5); column++) {
    const length = message.readInt32BE(offset)
    offset += 4
    row[names[column] ?? String(column)] = length < 0 ? null : message.toString('utf8', offset, offset + length)
    offset += Math.max(0, length)
  }
  return row
}
