import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import { groupSchema, type Group } from '@tanagerusher/state/configuration/group'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

interface Contact {
  /** Age of the configuration when it arrived. */
  confirmedAgeMs: number
  receivedAt: number
}

/** Groups and hosts as received from control. The version never decreases, and a delta from a later version is rejected. */
export class PoolConfiguration {
  #version = 0
  #groups = new Map<string, Group>()
  #members: readonly FleetMember[] = []
  #contact: Contact | undefined

  static create (): PoolConfiguration {
    return new PoolConfiguration()
  }

  get version (): number { return this.#version }
  get members (): readonly FleetMember[] { return this.#members }
  get groups (): ReadonlyMap<string, Group> { return this.#groups }

  /** Returns false when a delta starts after the current version; a snapshot must then be fetched. */
  apply ({ fromVersion, toVersion, changes }: ConfigurationUpdate): boolean {
    if (toVersion <= this.#version) return true
    if (fromVersion !== 0 && fromVersion > this.#version) return false
    const groups = fromVersion === 0 ? new Map<string, Group>() : new Map(this.#groups)
    for (const change of changes) {
      if (change.type === 'delete') {
        if (change.kind === 'group') groups.delete(change.name)
      } else if (change.object.kind === 'group') groups.set(change.object.name, groupSchema.parse(change.object.value))
    }
    this.#groups = groups
    this.#version = toVersion
    return true
  }

  setMembers (members: readonly FleetMember[]): void {
    this.#members = members
  }

  recordContact (confirmedAgeMs: number, now: number): void {
    this.#contact = { confirmedAgeMs, receivedAt: now }
  }

  /** Time since the configuration was last confirmed; infinite before the first contact. */
  computeAgeMs (now: number): number {
    return this.#contact === undefined ? Infinity : this.#contact.confirmedAgeMs + now - this.#contact.receivedAt
  }
}
