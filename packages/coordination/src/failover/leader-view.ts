import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

interface Proof { id: string, term: number }

interface Refusal { revision: number, startedAt: number }

/**
 * Which database leads a group, as this host believes. Proofs (a write or a plain BEGIN succeeded in a term) go before what
 * the databases say of themselves, which may be old. Nothing here is safe to rely on: the database decides at each statement.
 */
export class LeaderView {
  readonly #proofs = new Map<string, Proof>()
  /** Claims that were found false, by database, until its record changes. */
  readonly #refused = new Map<string, Refusal>()

  static create (): LeaderView {
    return new LeaderView()
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

  findTerm (group: string): number {
    return this.#proofs.get(group)?.term ?? 0
  }

  /** The leader among the records of one group; undefined when none is known. */
  findLeader (group: string, records: readonly UpstreamRecord[]): UpstreamRecord | undefined {
    const proven = records.find(({ id }) => id === this.#proofs.get(group)?.id)
    if (proven !== undefined) return proven
    const claims = records.filter((record) => record.claimsPrimary && !this.#isRefused(record))
    return claims.sort((left, right) => right.revision - left.revision)[0]
  }

  #isRefused ({ id, revision, startedAt }: UpstreamRecord): boolean {
    const refusal = this.#refused.get(id)
    return refusal !== undefined && refusal.revision === revision && refusal.startedAt === startedAt
  }
}
