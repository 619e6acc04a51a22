import type { RaiseTermResponse } from '@tanagerusher/coordination/common/raise-term-response'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { LogEntry } from './log-entry.js'

export type WriteResult = { type: 'written', position: Position } | { type: 'refused' }

interface CreateOptions {
  name: string
  primary: string
}

/** In-memory database of a group with terms, promised terms and a log, as the platform's documentation describes them. */
export class FakeMember {
  readonly name: string
  log: LogEntry[] = [{ term: 1, work: '' }]
  promisedTerm = 1
  role: 'primary' | 'replica'
  primary: string | null
  isRunning = true
  linkReceivedAt = 0

  private constructor ({ name, primary }: CreateOptions) {
    this.name = name
    this.primary = primary
    this.role = name === primary ? 'primary' : 'replica'
  }

  static create (options: CreateOptions): FakeMember {
    return new FakeMember(options)
  }

  get end (): Position {
    return { term: this.log.at(-1)?.term ?? 0, position: this.log.length }
  }

  buildStatus (now: number): DatabaseStatus {
    const { term } = this.end
    return {
      database: this.name,
      role: this.role,
      promisedTerm: this.promisedTerm,
      log: this.end,
      termStart: this.log.findIndex((entry) => entry.term === term) + 1,
      primary: this.primary,
      linkSilentMs: this.role === 'primary' ? 0 : now - this.linkReceivedAt,
      connections: 0
    }
  }

  /** Appends the work unless a higher term was promised. A repeated idempotency key appends nothing and returns the end of the log. */
  write (work: string): WriteResult {
    if (this.role !== 'primary' || this.promisedTerm !== this.end.term) return { type: 'refused' }
    const existingIndex = this.log.findIndex((entry) => entry.work === work)
    if (existingIndex < 0) this.log.push({ term: this.end.term, work })
    return { type: 'written', position: existingIndex < 0 ? this.end : { term: this.end.term, position: this.log.length } }
  }

  raiseTerm (term: number): RaiseTermResponse {
    const granted = term > this.promisedTerm
    if (granted) this.promisedTerm = term
    return { granted, promisedTerm: this.promisedTerm, log: this.end }
  }

  promote (term: number): boolean {
    if (this.role === 'primary' && this.end.term === term) return true
    if (this.promisedTerm !== term) return false
    this.role = 'primary'
    this.primary = this.name
    this.log.push({ term, work: '' })
    return true
  }

  follow (term: number, primary: string): boolean {
    if (this.promisedTerm > term || (this.role === 'primary' && this.end.term >= term)) return false
    this.promisedTerm = term
    this.role = 'replica'
    this.primary = primary
    return true
  }

  /** Appends up to `limit` entries from the followed primary and truncates entries that the primary's log lacks. */
  replicateFrom (source: FakeMember, limit: number, now: number): void {
    if (source.role !== 'primary' || source.end.term !== this.promisedTerm || this.primary !== source.name) return
    this.linkReceivedAt = now
    let commonLength = Math.min(this.log.length, source.log.length)
    while (commonLength > 0 && this.log[commonLength - 1]?.term !== source.log[commonLength - 1]?.term) commonLength--
    this.log = [...this.log.slice(0, commonLength), ...source.log.slice(commonLength, commonLength + limit)]
  }

  readTermHistory (): Array<{ term: number, start: number }> {
    return this.log.flatMap(({ term }, index) => term === this.log[index - 1]?.term ? [] : [{ term, start: index + 1 }])
  }
}
