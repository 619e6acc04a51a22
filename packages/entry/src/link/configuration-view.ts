import { KeySet } from '@tanagerusher/coordination/keys/key-set'
import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import type { Entry } from '@tanagerusher/state/configuration/entry'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { Organisation } from '@tanagerusher/state/configuration/organisation'

type ApplyResult = 'applied' | 'ignored' | 'gap'

/** Active configuration of this host. Its version never decreases. */
export class ConfigurationView {
  readonly keys = KeySet.create()
  readonly entries = new Map<string, Entry>()
  readonly groups = new Map<string, Group>()
  readonly organisations = new Map<string, Organisation>()
  #version = 0

  private constructor () {}

  static create (): ConfigurationView {
    return new ConfigurationView()
  }

  get version (): number {
    return this.#version
  }

  /** Applies an update. Returns `gap` when changes between the current version and the update are missing and must be requested. */
  apply (update: ConfigurationUpdate): ApplyResult {
    if (update.toVersion <= this.#version) return 'ignored'
    if (update.fromVersion > this.#version) return 'gap'
    if (update.fromVersion === 0) {
      this.entries.clear()
      this.groups.clear()
      this.organisations.clear()
    }
    for (const change of update.changes) this.#applyChange(change)
    this.keys.apply(update)
    this.#version = update.toVersion
    return 'applied'
  }

  #applyChange (change: ConfigurationChange): void {
    if (change.type === 'delete') {
      this.#selectObjects(change.kind)?.delete(change.name)
      return
    }
    const { object } = change
    if (object.kind === 'entry') this.entries.set(object.name, object.value)
    else if (object.kind === 'group') this.groups.set(object.name, object.value)
    else if (object.kind === 'organisation') this.organisations.set(object.name, object.value)
  }

  #selectObjects (kind: string): Map<string, unknown> | undefined {
    if (kind === 'entry') return this.entries
    if (kind === 'group') return this.groups
    return kind === 'organisation' ? this.organisations : undefined
  }
}
