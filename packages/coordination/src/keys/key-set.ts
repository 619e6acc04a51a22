import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import type { StoredKey } from './stored-key.js'
import type { KeyCheck } from './key-check.js'

export type KeyDecision = 'allowed' | 'key-withdrawn' | 'access-denied' | 'entry-unknown'

/** Keys and entry owners of the active configuration. Every request is checked against them. */
export class KeySet {
  readonly #keys = new Map<string, StoredKey>()
  readonly #keysByOrganisation = new Map<string, Set<string>>()
  readonly #owners = new Map<string, string | null>()
  #revision = 0

  private constructor () {}

  static create (): KeySet {
    return new KeySet()
  }

  /** Increases whenever a key or the owner of an entry may have changed. The result of a check is valid while it stays the same. */
  get revision (): number {
    return this.#revision
  }

  apply ({ fromVersion, changes }: Pick<ConfigurationUpdate, 'fromVersion' | 'changes'>): void {
    this.#revision++
    if (fromVersion === 0) {
      this.#keys.clear()
      this.#keysByOrganisation.clear()
      this.#owners.clear()
    }
    for (const change of changes) {
      if (change.type === 'put') this.#put(change.object)
      else if (change.kind === 'key') this.#keys.delete(change.name)
      else if (change.kind === 'entry') this.#owners.delete(change.name)
    }
  }

  /**
   * Lists the keys with which an organisation can log in. All have the salt and iteration count of the oldest valid key: a
   * log-in exchange announces one salt, so a key with another salt could not be verified in it.
   */
  listKeys (organisation: string): StoredKey[] {
    const names = [...this.#keysByOrganisation.get(organisation) ?? []]
    const valid = names.flatMap((name) => this.#keys.get(name) ?? []).filter((key) => key.organisation === organisation && !key.withdrawn)
    valid.sort((left, right) => left.version - right.version || (left.name < right.name ? -1 : 1))
    const first = valid[0]
    return valid.filter(({ salt, iterations }) => salt === first?.salt && iterations === first.iterations)
  }

  check ({ organisation, keyName, generation, entryName }: KeyCheck): KeyDecision {
    const key = this.#keys.get(keyName)
    if (key === undefined || key.withdrawn || key.generation !== generation || key.organisation !== organisation) return 'key-withdrawn'
    const owner = this.#owners.get(entryName)
    if (owner === undefined) return 'entry-unknown'
    return owner === null || owner === organisation ? 'allowed' : 'access-denied'
  }

  #put (object: ConfigurationObject): void {
    if (object.kind === 'key') this.#putKey({ ...object.value, name: object.name, version: object.version })
    else if (object.kind === 'entry') this.#owners.set(object.name, object.value.owner)
  }

  #putKey (key: StoredKey): void {
    this.#keys.set(key.name, key)
    const names = this.#keysByOrganisation.get(key.organisation)
    if (names === undefined) this.#keysByOrganisation.set(key.organisation, new Set([key.name]))
    else names.add(key.name)
  }
}
