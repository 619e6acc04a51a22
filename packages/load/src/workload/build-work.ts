import type { SeededRandom } from '../random/seeded-random.js'
import type { Work } from './work.js'
import type { CallerClass } from './caller-class.js'

const ROLLBACK_SHARE = 0.2
const TRANSACTION_ROWS = 2
const MAXIMUM_VALUE = 500

interface BuildWorkOptions {
  callerClass: CallerClass
  session: string
  /** Identifier of the work, unique in the whole run. */
  id: string
  random: SeededRandom
}

/** Builds the next piece of work of a caller. Every inserted row contains a unique identifier and the session of the caller. */
export function buildWork ({ callerClass, session, id, random }: BuildWorkOptions): Work {
  const fraction = random.takeFraction()
  if (fraction < callerClass.readShare) return buildRead(callerClass, session, id)
  if (fraction < callerClass.readShare + callerClass.transactionShare) return buildTransaction(callerClass, session, id, random)
  const insert = buildInsert(callerClass, session, id, random)
  const isIdempotent = random.takeBoolean(callerClass.idempotentShare)
  return { kind: 'write', statements: [insert], writes: [id], rollback: false, marker: id, ...(isIdempotent ? { idempotencyKey: id } : {}) }
}

function buildRead ({ table }: CallerClass, session: string, id: string): Work {
  const text = `SELECT id, session, '${id}' AS marker, pg_is_in_recovery() AS replica FROM ${table} WHERE session = $1`
  return { kind: 'read', statements: [{ text, values: [session] }], writes: [], rollback: false, marker: id }
}

function buildTransaction (callerClass: CallerClass, session: string, id: string, random: SeededRandom): Work {
  const rollback = random.takeBoolean(ROLLBACK_SHARE)
  const writes = Array.from({ length: TRANSACTION_ROWS }, (_, index) => `${id}.${index}`)
  const inserts = writes.map((row) => buildInsert(callerClass, session, row, random))
  const statements = [{ text: 'BEGIN', values: [] }, ...inserts, { text: rollback ? 'ROLLBACK' : 'COMMIT', values: [] }]
  return { kind: 'transaction', statements, writes, rollback, marker: writes[writes.length - 1] as string }
}

function buildInsert ({ table, valueColumn: column }: CallerClass, session: string, id: string, random: SeededRandom): Work['statements'][number] {
  const text = `INSERT INTO ${table} (id, session, ${column}) VALUES ($1, $2, $3) RETURNING id AS marker`
  return { text, values: [id, session, random.takeInteger(1, MAXIMUM_VALUE)] }
}
