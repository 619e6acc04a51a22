import type { Value } from '../ledger/value.js'
import type { ChangeWaiters } from './change-waiters.js'
import type { DatabaseMember } from './database-member.js'
import { formatStatus } from './format-status.js'

interface WaitOptions {
  parameters: Value[]
  member: DatabaseMember
  waiters: ChangeWaiters
  signal: AbortSignal
}

/** Calls `platform_wait(term, position, timeout_ms [, promised_term])` and returns its row. */
export async function waitForChange ({ parameters, member, waiters, signal }: WaitOptions): Promise<Value[][]> {
  const [term, position, timeoutMs, promisedTerm] = parameters
  const known = promisedTerm === undefined || promisedTerm === null ? {} : { knownPromisedTerm: Number(promisedTerm) }
  await waiters.wait({ knownPosition: { term: Number(term), position: Number(position) }, ...known, timeoutMs: Number(timeoutMs ?? 0), signal })
  return [formatStatus(member.readStatus())]
}
