import { typeIdentifiers } from '../ledger/type-identifiers.js'
import type { Value } from '../ledger/value.js'
import type { ScopeColumn } from '../sql/scope-column.js'

const CHUNK_BYTES = 16 * 1024
const VARIABLE_LENGTH = -1

/** Encodes backend messages into one buffer until `take` returns it. */
export class BackendWriter {
  #buffer = Buffer.allocUnsafe(CHUNK_BYTES)
  #offset = 0
  #lengthOffset = 0

  static create (): BackendWriter {
    return new BackendWriter()
  }

  get length (): number { return this.#offset }

  /** Returns the bytes that were encoded since the last call. */
  take (): Buffer {
    const bytes = this.#buffer.subarray(0, this.#offset)
    this.#buffer = this.#buffer.length - this.#offset > CHUNK_BYTES / 4 ? this.#buffer.subarray(this.#offset) : Buffer.allocUnsafe(CHUNK_BYTES)
    this.#offset = 0
    return bytes
  }

  addAuthentication (code: number, data: Buffer = Buffer.alloc(0)): void {
    this.#begin('R')
    this.#addInt32(code)
    this.#addBytes(data)
    this.#end()
  }

  addParameterStatus (name: string, value: string): void {
    this.#begin('S')
    this.#addText(name)
    this.#addText(value)
    this.#end()
  }

  addBackendKeyData (processId: number, secret: number): void {
    this.#begin('K')
    this.#addInt32(processId)
    this.#addInt32(secret)
    this.#end()
  }

  addReadyForQuery (status: 'I' | 'T' | 'E'): void {
    this.#begin('Z')
    this.#addByte(status.charCodeAt(0))
    this.#end()
  }

  addCommandComplete (tag: string): void {
    this.#begin('C')
    this.#addText(tag)
    this.#end()
  }

  /** Adds a message without a body: ParseComplete 1, BindComplete 2, CloseComplete 3, EmptyQueryResponse I, NoData n, PortalSuspended s. */
  addEmpty (type: '1' | '2' | '3' | 'I' | 'n' | 's'): void {
    this.#begin(type)
    this.#end()
  }

  addParameterDescription (identifiers: readonly number[]): void {
    this.#begin('t')
    this.#addInt16(identifiers.length)
    for (const identifier of identifiers) this.#addInt32(identifier)
    this.#end()
  }

  addRowDescription (columns: readonly ScopeColumn[]): void {
    this.#begin('T')
    this.#addInt16(columns.length)
    for (const { name, type } of columns) {
      this.#addText(name)
      this.#addInt32(0)
      this.#addInt16(0)
      this.#addInt32(typeIdentifiers[type])
      this.#addInt16(VARIABLE_LENGTH)
      this.#addInt32(-1)
      this.#addInt16(0)
    }
    this.#end()
  }

  addDataRow (values: readonly Value[]): void {
    this.#begin('D')
    this.#addInt16(values.length)
    for (const value of values) this.#addValue(value)
    this.#end()
  }

  addError (severity: 'ERROR' | 'FATAL', sqlState: string, message: string): void {
    this.#begin('E')
    for (const [field, text] of [['S', severity], ['V', severity], ['C', sqlState], ['M', message]] as const) {
      this.#addByte(field.charCodeAt(0))
      this.#addText(text)
    }
    this.#addByte(0)
    this.#end()
  }

  #addValue (value: Value): void {
    if (value === null) {
      this.#addInt32(-1)
      return
    }
    const text = typeof value === 'string' ? value : typeof value === 'boolean' ? (value ? 't' : 'f') : String(value)
    this.#reserve(4 + text.length * 3)
    const written = this.#buffer.write(text, this.#offset + 4, 'utf8')
    this.#buffer.writeInt32BE(written, this.#offset)
    this.#offset += 4 + written
  }

  #begin (type: string): void {
    this.#reserve(5)
    this.#buffer[this.#offset] = type.charCodeAt(0)
    this.#lengthOffset = this.#offset + 1
    this.#offset += 5
  }

  #end (): void {
    this.#buffer.writeInt32BE(this.#offset - this.#lengthOffset, this.#lengthOffset)
  }

  #addByte (value: number): void {
    this.#reserve(1)
    this.#buffer[this.#offset++] = value
  }

  #addInt16 (value: number): void {
    this.#reserve(2)
    this.#offset = this.#buffer.writeInt16BE(value, this.#offset)
  }

  #addInt32 (value: number): void {
    this.#reserve(4)
    this.#offset = this.#buffer.writeInt32BE(value, this.#offset)
  }

  #addText (text: string): void {
    this.#reserve(text.length * 3 + 1)
    this.#offset += this.#buffer.write(text, this.#offset, 'utf8')
    this.#buffer[this.#offset++] = 0
  }

  #addBytes (bytes: Buffer): void {
    this.#reserve(bytes.length)
    this.#offset += bytes.copy(this.#buffer, this.#offset)
  }

  #reserve (size: number): void {
    if (this.#offset + size <= this.#buffer.length) return
    const larger = Buffer.allocUnsafe(Math.max(this.#buffer.length * 2, this.#offset + size, CHUNK_BYTES))
    this.#buffer.copy(larger, 0, 0, this.#offset)
    this.#buffer = larger
  }
}
