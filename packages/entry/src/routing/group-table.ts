import { DataAge } from '@tanagerusher/coordination/session/data-age'
import type { ReplicaCandidate } from '@tanagerusher/coordination/session/replica-candidate'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { GroupStatus } from '@tanagerusher/state/group/group-status'

interface GroupState {
  term: number
  primary: string | null
  members: Map<string, ReplicaCandidate>
  /** Time at which each member was last observed, on this host's clock. */
  observedAt: Map<string, number>
  candidates: ReplicaCandidate[]
  waiters: Set<() => void>
}

/**
 * State of each upstream group, merged from the statuses that several pools send. It is used for routing only: the pool
 * that executes a request checks the floor and the role of the database again.
 */
export class GroupTable {
  readonly #groups = new Map<string, GroupState>()

  private constructor () {}

  static create (): GroupTable {
    return new GroupTable()
  }

  /** Returns the primary of the highest known term, or null when none is known. */
  findPrimary (group: string): string | null {
    return this.#groups.get(group)?.primary ?? null
  }

  listCandidates (group: string): readonly ReplicaCandidate[] {
    return this.#groups.get(group)?.candidates ?? []
  }

  apply (status: GroupStatus, configuration: Group | undefined, now: number): void {
    const state = this.#getState(status.group)
    if (status.term > state.term || (status.term === state.term && status.primary !== null)) {
      state.term = status.term
      state.primary = status.primary
    }
    for (const member of status.members) this.#applyMember(state, member, configuration, now)
    for (const candidate of state.members.values()) candidate.isPrimary = candidate.database === state.primary
    state.candidates = [...state.members.values()]
    this.#notifyWaiters(state)
  }

  /** Resolves when the next status of the group is applied, or after `timeoutMs`. */
  async waitForStatus (group: string, timeoutMs: number): Promise<void> {
    const { waiters } = this.#getState(group)
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, Math.max(1, timeoutMs))
      waiters.add(finish)
    })
  }

  /** Applies a new configuration: removes deleted databases and updates which ones are leaving. */
  applyConfiguration (groups: ReadonlyMap<string, Group>): void {
    for (const [name, state] of this.#groups) {
      const databases = groups.get(name)?.databases ?? []
      for (const [database, candidate] of state.members) {
        const found = databases.find((configured) => configured.name === database)
        if (found === undefined) state.members.delete(database)
        else candidate.isLeaving = found.leaving
      }
      state.candidates = [...state.members.values()]
      this.#notifyWaiters(state)
    }
  }

  #applyMember (state: GroupState, member: GroupStatus['members'][number], configuration: Group | undefined, now: number): void {
    const observedAt = now - member.observedAgeMs
    if ((state.observedAt.get(member.database) ?? Number.NEGATIVE_INFINITY) > observedAt) return
    const database = configuration?.databases.find(({ name }) => name === member.database)
    if (database === undefined) return
    state.observedAt.set(member.database, observedAt)
    state.members.set(member.database, {
      database: member.database,
      dataCentre: database.dataCentre,
      region: database.region,
      isPrimary: member.role === 'primary',
      isReachable: member.reachable,
      isLeaving: database.leaving,
      log: member.log,
      load: member.load,
      age: DataAge.create({ dataAgeMs: member.dataAgeMs, observedAgeMs: member.observedAgeMs, receivedAt: now }),
      observedAt
    })
  }

  #getState (group: string): GroupState {
    let state = this.#groups.get(group)
    if (state === undefined) {
      state = { term: -1, primary: null, members: new Map(), observedAt: new Map(), candidates: [], waiters: new Set() }
      this.#groups.set(group, state)
    }
    return state
  }

  #notifyWaiters (state: GroupState): void {
    for (const resume of [...state.waiters]) resume()
  }
}
