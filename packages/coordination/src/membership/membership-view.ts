import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

interface KnownHost {
  member: FleetMember
  lastSeenAt: number
  isUnreachable: boolean
}

interface CreateOptions {
  self: FleetMember
  suspectAfterMs?: number
  removeAfterMs?: number
}

const MAXIMUM_RETIRED_INCARNATIONS = 256

/**
 * Hosts of the fleet according to received heartbeats. A host is suspected, and owns nothing, when no heartbeat arrives for 2 s
 * or its address refuses connections; after 5 s without a heartbeat it is removed. The platform's list of hosts only determines
 * which hosts to contact. Safety must not depend on this view, because two hosts may see different members.
 */
export class MembershipView {
  readonly #suspectAfterMs: number
  readonly #removeAfterMs: number
  readonly #known = new Map<string, KnownHost>()
  /** Incarnations replaced by a newer one of the same host; a delayed message must not add them again. */
  readonly #retiredIncarnations = new Set<string>()
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

  /** Keeps the same object when nothing changes, so that an unchanged member is not sent again. */
  updateSelf (change: Partial<FleetMember>): void {
    const isSame = Object.entries(change).every(([field, value]) => JSON.stringify(value) === JSON.stringify(this.#self[field]))
    if (isSame) return
    this.#self = { ...this.#self, ...change }
  }

  /** Records a heartbeat, or the response to one, from this host. Returns true when the members or the state of one changed. */
  recordHeartbeat (member: FleetMember, now: number): boolean {
    if (member.host === this.#self.host || this.#retiredIncarnations.has(member.incarnation)) return false
    const known = this.#known.get(member.host)
    const isChanged = known?.member.incarnation !== member.incarnation || known.member.state !== member.state || known.isUnreachable
    if (known !== undefined && known.member.incarnation !== member.incarnation) this.#retire(known.member.incarnation)
    this.#known.set(member.host, { member, lastSeenAt: now, isUnreachable: false })
    return isChanged
  }

  /** Records that the host's address refused a connection, which means that its process has ended. */
  recordConnectionRefusal (incarnation: string): void {
    for (const known of this.#known.values()) {
      if (known.member.incarnation === incarnation) known.isUnreachable = true
    }
  }

  /** Lists the hosts that may own databases or partitions or be a relay: they serve and are not suspected. Includes the own host. */
  listServing (now: number): FleetMember[] {
    return this.listMembers(now).filter(({ state, incarnation }) => state === 'serving' && !this.isSuspected(incarnation, now))
  }

  /** Lists all hosts that were not removed, the own host first. */
  listMembers (now: number): FleetMember[] {
    this.#removeUnresponsive(now)
    return [this.#self, ...[...this.#known.values()].map(({ member }) => member)]
  }

  isSuspected (incarnation: string, now: number): boolean {
    const known = [...this.#known.values()].find(({ member }) => member.incarnation === incarnation)
    return known !== undefined && (known.isUnreachable || now - known.lastSeenAt >= this.#suspectAfterMs)
  }

  /** Returns the time at which the next host becomes suspected or is removed. */
  findNextDeadline (now: number): number | undefined {
    const times = [...this.#known.values()].flatMap(({ lastSeenAt }) => [lastSeenAt + this.#suspectAfterMs, lastSeenAt + this.#removeAfterMs])
    const next = Math.min(...times.filter((time) => time > now))
    return Number.isFinite(next) ? next : undefined
  }

  #removeUnresponsive (now: number): void {
    for (const [host, { lastSeenAt }] of this.#known) {
      if (now - lastSeenAt >= this.#removeAfterMs) this.#known.delete(host)
    }
  }

  #retire (incarnation: string): void {
    this.#retiredIncarnations.add(incarnation)
    const oldest = this.#retiredIncarnations.values().next()
    if (this.#retiredIncarnations.size > MAXIMUM_RETIRED_INCARNATIONS && oldest.done !== true) this.#retiredIncarnations.delete(oldest.value)
  }
}
