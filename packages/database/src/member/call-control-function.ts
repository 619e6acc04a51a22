import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import type { DatabaseMember } from './database-member.js'
import { formatStatus } from './format-status.js'

interface CallOptions {
  name: string
  parameters: Value[]
  member: DatabaseMember
}

/** Calls a control function other than `platform_wait` and returns its rows; the values have the order of its columns. */
export function callControlFunction ({ name, parameters, member }: CallOptions): Value[][] {
  const [first, second] = parameters
  switch (name) {
    case 'platform_status':
      return [formatStatus(member.readStatus())]
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

function readTerm (value: Value | undefined): number {
  const term = Number(value ?? NaN)
  if (!Number.isSafeInteger(term) || term < 1) throw SqlError.create('22023', 'term must be a positive integer')
  return term
}
