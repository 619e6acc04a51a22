import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import type { ChangeWaiters } from './change-waiters.js'
import type { DatabaseMember } from './database-member.js'

interface CallOptions {
  name: string
  parameters: Value[]
  member: DatabaseMember
  waiters: ChangeWaiters
  signal: AbortSignal
}

/** Calls a control function and returns its rows in the order of its columns; only `platform_wait` takes time. */
export function callControlFunction ({ name, parameters, member, waiters, signal }: CallOptions): Value[][] | Promise<Value[][]> {
  const [first, second, third, fourth] = parameters
  switch (name) {
    case 'platform_status':
      return [formatStatus(member.readStatus())]
    case 'platform_wait': {
      const known = { term: Number(first), position: Number(second) }
      const knownPromise = fourth === undefined || fourth === null ? {} : { knownPromise: Number(fourth) }
      return waiters.wait({ known, ...knownPromise, timeoutMs: Number(third ?? 0), signal }).then(() => [formatStatus(member.readStatus())])
    }
    case 'platform_raise_term': {
      const { granted, promisedTerm, log } = member.raiseTerm(readTerm(first))
      return [[granted, promisedTerm, log.term, log.position]]
    }
    case 'platform_promote':
      return [[member.promote(readTerm(first))]]
    case 'platform_follow':
      return [[member.follow(readTerm(first), String(second))]]
    case 'platform_term_history':
      return member.listHistory().map(({ term, start }) => [term, start])
    default:
      throw SqlError.create('42883', `function ${name} does not exist`)
  }
}

function formatStatus (status: DatabaseStatus): Value[] {
  const { database, role, promisedTerm, log, termStart, primary, linkSilentMs, connections } = status
  return [database, role, promisedTerm, log.term, log.position, termStart, primary, linkSilentMs, connections]
}

function readTerm (value: Value | undefined): number {
  const term = Number(value ?? NaN)
  if (!Number.isSafeInteger(term) || term < 1) throw SqlError.create('22023', 'term must be a positive integer')
  return term
}
