const HEADER_BYTES = 5
const ERROR_TYPE = 0x45
const SQL_STATE_FIELD = 0x43

/** SQLSTATE of the first ErrorResponse in a sequence of complete backend messages; undefined when there is none. */
export function findSqlState (frames: Uint8Array): string | undefined {
  const view = Buffer.from(frames.buffer, frames.byteOffset, frames.byteLength)
  for (let offset = 0; offset + HEADER_BYTES <= view.length; offset += 1 + view.readUInt32BE(offset + 1)) {
    if (view[offset] === ERROR_TYPE) return readSqlState(view, offset + HEADER_BYTES)
  }
  return undefined
}

function readSqlState (view: Buffer, start: number): string {
  for (let offset = start; offset < view.length && view[offset] !== 0;) {
    const end = view.indexOf(0, offset)
    if (end === -1) break
    if (view[offset] === SQL_STATE_FIELD) return view.toString('latin1', offset + 1, end)
    offset = end + 1
  }
  return 'XX000'
}
