import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

interface Known {
  member: FleetMember
  heardAt: number
  isUnreachable: boolean
}

interface CreateOptions {
  self: FleetMember
  suspectAfterMs?: number
  removeAfterMs?: number
}

const RETIRED_LIMIT = 256

/**
 * Hosts of the fleet as heartbeats show them. A host silent for 2 s, or whose address refuses connections, is suspected
 * and gets no ownership; after 5 s it is removed. The platform's list only says whom to contact. Nothing here decides
 * safety: two hosts may see different members.
 */
export class MembershipView {
  readonly #suspectAfterMs: number
  readonly #removeAfterMs: number
  readonly #known = new Map<string, Known>()
  /** Incarnations that a newer one of the same host replaced; a late message must not bring them back. */
  readonly #retired = new Set<string>()
  #self: FleetMember

  private constructor ({ self, suspectAfterMs = 2000, removeAfterMs = 5000 }: CreateOptions) {
    this.#self = self
    this.#suspectAfterMs = suspectAfterMs
    this.#removeAfterMs = removeAfterMs
  }

  static create (options: CreateOptions): MembershipView {
    return new MembershipView(options)
  }

  get self (): FleetMember { return this.#self }

  /** Keeps the same object when nothing changes, so that it need not be sent again. */
  updateSelf (change: Partial<FleetMember>): void {
    const isSame = Object.entries(change).every(([field, value]) => JSON.stringify(value) === JSON.stringify(this.#self[field]))
    if (isSame) return
    this.#self = { ...this.#self, ...change }
  }

  /** A heartbeat or an answer to one came from this host. True when the members or a state changed by it. */
  recordHeartbeat (member: FleetMember, now: number): boolean {
    if (member.host === this.#self.host || this.#retired.has(member.incarnation)) return false
    const known = this.#known.get(member.host)
    const isChanged = known?.member.incarnation !== member.incarnation || known.member.state !== member.state || known.isUnreachable
    if (known !== undefined && known.member.incarnation !== member.incarnation) this.#retire(known.member.incarnation)
    this.#known.set(member.host, { member, heardAt: now, isUnreachable: false })
    return isChanged
  }

  /** The host's address refused a connection: its process has ended. */
  recordRefusal (incarnation: string): void {
    for (const known of this.#known.values()) {
      if (known.member.incarnation === incarnation) known.isUnreachable = true
    }
  }

  /** Hosts that may own databases, partitions or the relay: serving, heard of in the last 2 s. Includes the own host. */
  listServing (now: number): FleetMember[] {
    return this.listMembers(now).filter(({ state, incarnation }) => state === 'serving' && !this.isSuspected(incarnation, now))
  }

  /** All hosts not removed, the own one first. */
  listMembers (now: number): FleetMember[] {
    this.#removeSilent(now)
    return [this.#self, ...[...this.#known.values()].map(({ member }) => member)]
  }

  isSuspected (incarnation: string, now: number): boolean {
    const known = [...this.#known.values()].find(({ member }) => member.incarnation === incarnation)
    return known !== undefined && (known.isUnreachable || now - known.heardAt >= this.#suspectAfterMs)
  }

  /** Time of the next suspicion or removal. */
  findNextDeadline (now: number): number | undefined {
    const times = [...this.#known.values()].flatMap(({ heardAt }) => [heardAt + this.#suspectAfterMs, heardAt + this.#removeAfterMs])
    const next = Math.min(...times.filter((time) => time > now))
    return Number.isFinite(next) ? next : undefined
  }

  #removeSilent (now: number): void {
    for (const [host, { heardAt }] of this.#known) {
      if (now - heardAt >= this.#removeAfterMs) this.#known.delete(host)
    }
  }

  #retire (incarnation: string): void {
    this.#retired.add(incarnation)
    const oldest = this.#retired.values().next()
    if (this.#retired.size > RETIRED_LIMIT && oldest.done !== true) this.#retired.delete(oldest.value)
  }
}
