import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

interface CreateOptions {
  /** A database that was replaced goes on and still claims to lead, so that what databases claim says nothing after a promotion. */
  isAppointmentBinding: boolean
}

interface Proof { id: string, term: number }

interface Refusal { revision: number, startedAt: number }

/**
 * Which database leads a group, as this host believes. Ended promotions and proofs (a write or a plain BEGIN succeeded in a term)
 * go before what the databases say of themselves, which may be old. Nothing here is safe to rely on: the right to use the primary
 * and the database itself decide at each statement.
 */
export class LeaderView {
  readonly #proofs = new Map<string, Proof>()
  /** Databases that promotions have appointed. */
  readonly #appointed = new Map<string, Proof>()
  readonly #isAppointmentBinding: boolean
  /** Claims that were found false, by database, until its record changes. */
  readonly #refused = new Map<string, Refusal>()

  private constructor ({ isAppointmentBinding }: CreateOptions) {
    this.#isAppointmentBinding = isAppointmentBinding
  }

  static create (options: CreateOptions): LeaderView {
    return new LeaderView(options)
  }

  /** A promotion of the group has ended. */
  recordAppointment (group: string, id: string, term: number): void {
    if ((this.#appointed.get(group)?.term ?? 0) > term) return
    this.#appointed.set(group, { id, term })
    this.recordProof(group, id, term)
  }

  /** True when the leader changed. */
  recordProof (group: string, id: string, term: number): boolean {
    const known = this.#proofs.get(group)
    if (known !== undefined && known.term > term) return false
    this.#proofs.set(group, { id, term })
    this.#refused.delete(id)
    return known?.id !== id
  }

  /** The database answered that it does not lead. */
  recordRefusal (record: UpstreamRecord): void {
    if (this.#proofs.get(record.group)?.id === record.id) this.#proofs.delete(record.group)
    this.#refused.set(record.id, { revision: record.revision, startedAt: record.startedAt })
  }

  /** The leader among the records of one group; undefined when none is known. */
  findLeader (group: string, records: readonly UpstreamRecord[]): UpstreamRecord | undefined {
    const proven = records.find(({ id }) => id === this.#proofs.get(group)?.id)
    if (proven !== undefined) return proven
    const appointed = this.#isAppointmentBinding ? this.#appointed.get(group) : undefined
    const claims = records.filter((record) => (appointed === undefined ? record.claimsPrimary : record.id === appointed.id) && !this.#isRefused(record))
    return claims.sort((left, right) => right.revision - left.revision)[0]
  }

  #isRefused ({ id, revision, startedAt }: UpstreamRecord): boolean {
    const refusal = this.#refused.get(id)
    return refusal !== undefined && refusal.revision === revision && refusal.startedAt === startedAt
  }
}
