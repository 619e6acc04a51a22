import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

interface CreateOptions {
  /** True where a replaced primary keeps serving and still reports itself as primary. Such reports are ignored after a promotion. */
  isAppointmentBinding: boolean
}

interface ConfirmedLeader { id: string, term: number }

interface Refusal { revision: number, startedAt: number }

/**
 * This host's estimate of which database leads a group. Completed promotions and confirmations (a write or a plain BEGIN succeeded
 * in a term) take precedence over the role that databases report, which may be outdated. The estimate only routes work: whether
 * a statement may run is decided by the primary lease and by the database itself.
 */
export class LeaderView {
  readonly #confirmedLeaders = new Map<string, ConfirmedLeader>()
  /** Databases that completed promotions appointed, by group. */
  readonly #appointed = new Map<string, ConfirmedLeader>()
  readonly #isAppointmentBinding: boolean
  /** Databases that reported themselves as primary but refused to lead; each entry is valid until the record of the database changes. */
  readonly #refused = new Map<string, Refusal>()

  private constructor ({ isAppointmentBinding }: CreateOptions) {
    this.#isAppointmentBinding = isAppointmentBinding
  }

  static create (options: CreateOptions): LeaderView {
    return new LeaderView(options)
  }

  /** Records that a promotion of the group completed with this database as primary. */
  recordAppointment (group: string, id: string, term: number): void {
    if ((this.#appointed.get(group)?.term ?? 0) > term) return
    this.#appointed.set(group, { id, term })
    this.recordConfirmation(group, id, term)
  }

  /** Returns true when the leader changed. */
  recordConfirmation (group: string, id: string, term: number): boolean {
    const known = this.#confirmedLeaders.get(group)
    if (known !== undefined && known.term > term) return false
    this.#confirmedLeaders.set(group, { id, term })
    this.#refused.delete(id)
    return known?.id !== id
  }

  /** Records the response of a database that it does not lead. */
  recordRefusal (record: UpstreamRecord): void {
    if (this.#confirmedLeaders.get(record.group)?.id === record.id) this.#confirmedLeaders.delete(record.group)
    this.#refused.set(record.id, { revision: record.revision, startedAt: record.startedAt })
  }

  /** The leader among the records of one group; undefined when none is known. */
  findLeader (group: string, records: readonly UpstreamRecord[]): UpstreamRecord | undefined {
    const confirmed = records.find(({ id }) => id === this.#confirmedLeaders.get(group)?.id)
    if (confirmed !== undefined) return confirmed
    const appointed = this.#isAppointmentBinding ? this.#appointed.get(group) : undefined
    const candidates = records.filter((record) => (appointed === undefined ? record.claimsPrimary : record.id === appointed.id) && !this.#isRefused(record))
    return candidates.sort((left, right) => right.revision - left.revision)[0]
  }

  #isRefused ({ id, revision, startedAt }: UpstreamRecord): boolean {
    const refusal = this.#refused.get(id)
    return refusal !== undefined && refusal.revision === revision && refusal.startedAt === startedAt
  }
}
