import { createHash } from 'node:crypto'
import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'

/**
 * `applied`: the replica is now at the update's version. `stale`: the update contains nothing newer. `gap`: the update starts
 * after the replica's version, and the changes in between must be fetched. `damaged`: the digest does not match, and a snapshot
 * must be fetched.
 */
export type ApplyResult = 'applied' | 'stale' | 'gap' | 'damaged'

interface ApplyOptions {
  /** A snapshot from the store also replaces a replica of the same version, which restores a change that a watch skipped. */
  isFromStore?: boolean
}

const HISTORY_LIMIT = 1000

/**
 * A host's copy of the configuration. Its version only increases. The digest covers kind, name, version and value of every
 * object, so that a delta applied to a wrong base is detected.
 */
export class ConfigurationReplica {
  #version = 0
  #objects = new Map<string, ConfigurationObject>()
  #digest: [number, number] = [0, 0]
  /** Changes since `#historyStart`, oldest first. */
  #history: Array<{ version: number, change: ConfigurationChange }> = []
  #historyStart = 0

  static create (): ConfigurationReplica {
    return new ConfigurationReplica()
  }

  get version (): number { return this.#version }
  get digest (): string { return formatDigest(this.#digest) }

  find (kind: string, name: string): ConfigurationObject | undefined {
    return this.#objects.get(createObjectKey(kind, name))
  }

  list<Kind extends ConfigurationObject['kind']> (kind: Kind): Array<Extract<ConfigurationObject, { kind: Kind }>> {
    return [...this.#objects.values()].filter((object): object is Extract<ConfigurationObject, { kind: Kind }> => object.kind === kind)
  }

  apply (update: ConfigurationUpdate, { isFromStore = false }: ApplyOptions = {}): ApplyResult {
    const isSnapshot = update.fromVersion === 0
    const isRepair = isSnapshot && isFromStore && update.toVersion === this.#version && update.digest !== this.digest
    if (update.toVersion <= this.#version && !isRepair) return 'stale'
    if (!isSnapshot && update.fromVersion > this.#version) return 'gap'
    return isSnapshot ? this.#applySnapshot(update) : this.#applyDelta(update)
  }

  /** Computes the digest of a configuration that consists of exactly these objects. */
  computeDigest (changes: readonly ConfigurationChange[]): string {
    const digest: [number, number] = [0, 0]
    for (const change of changes) if (change.type === 'put') updateDigest(digest, change.object)
    return formatDigest(digest)
  }

  /** Applies changes reported by a watch of the store; skips those that the replica already contains. */
  applyStoreChanges (changes: readonly ConfigurationChange[]): ConfigurationUpdate | null {
    const newChanges = changes.filter((change) => readVersion(change) > this.#version)
    const last = newChanges.at(-1)
    if (last === undefined) return null
    const fromVersion = this.#version
    const toVersion = Math.max(...newChanges.map(readVersion))
    for (const change of newChanges) this.#applyChange(change)
    this.#version = toVersion
    return { fromVersion, toVersion, changes: newChanges, digest: this.digest }
  }

  /** Creates the update from `fromVersion` to the replica's version; null when there is nothing newer. */
  createUpdate (fromVersion: number): ConfigurationUpdate | null {
    if (fromVersion >= this.#version && fromVersion !== 0) return null
    if (this.#version === 0) return null
    if (fromVersion === 0 || fromVersion < this.#historyStart) return this.createSnapshot()
    const changes = this.#history.filter(({ version }) => version > fromVersion).map(({ change }) => change)
    return { fromVersion, toVersion: this.#version, changes, digest: this.digest }
  }

  createSnapshot (): ConfigurationUpdate {
    const changes = [...this.#objects.values()].map((object): ConfigurationChange => ({ type: 'put', object }))
    return { fromVersion: 0, toVersion: this.#version, changes, digest: this.digest }
  }

  #applySnapshot (update: ConfigurationUpdate): ApplyResult {
    const objects = new Map<string, ConfigurationObject>()
    const digest: [number, number] = [0, 0]
    for (const change of update.changes) {
      if (change.type !== 'put') return 'damaged'
      objects.set(createObjectKey(change.object.kind, change.object.name), change.object)
      updateDigest(digest, change.object)
    }
    if (formatDigest(digest) !== update.digest) return 'damaged'
    this.#objects = objects
    this.#digest = digest
    this.#version = update.toVersion
    this.#history = []
    this.#historyStart = update.toVersion
    return 'applied'
  }

  #applyDelta (update: ConfigurationUpdate): ApplyResult {
    const newChanges = update.changes.filter((change) => readVersion(change) > this.#version)
    const digest: [number, number] = [...this.#digest]
    const after = new Map<string, ConfigurationObject | undefined>()
    for (const change of newChanges) {
      const key = createChangeKey(change)
      const before = after.has(key) ? after.get(key) : this.#objects.get(key)
      const next = change.type === 'put' ? change.object : undefined
      if (before !== undefined) updateDigest(digest, before)
      if (next !== undefined) updateDigest(digest, next)
      after.set(key, next)
    }
    if (formatDigest(digest) !== update.digest) return 'damaged'
    for (const change of newChanges) this.#applyChange(change)
    this.#version = update.toVersion
    return 'applied'
  }

  #applyChange (change: ConfigurationChange): void {
    const key = createChangeKey(change)
    const before = this.#objects.get(key)
    if (before !== undefined) updateDigest(this.#digest, before)
    if (change.type === 'put') {
      this.#objects.set(key, change.object)
      updateDigest(this.#digest, change.object)
    } else this.#objects.delete(key)
    this.#history.push({ version: readVersion(change), change })
    if (this.#history.length > HISTORY_LIMIT) this.#historyStart = this.#history.shift()?.version ?? 0
  }
}

function createObjectKey (kind: string, name: string): string {
  return `${kind}/${name}`
}

function createChangeKey (change: ConfigurationChange): string {
  return change.type === 'put' ? createObjectKey(change.object.kind, change.object.name) : createObjectKey(change.kind, change.name)
}

function readVersion (change: ConfigurationChange): number {
  return change.type === 'put' ? change.object.version : change.version
}

/** Adds or removes an object by exclusive or of its hash: both are the same operation, and the order of objects does not matter. */
function updateDigest (digest: [number, number], { kind, name, version, value }: ConfigurationObject): void {
  const hash = createHash('md5').update(`${kind}\0${name}\0${version}\0${formatCanonical(value)}`).digest()
  digest[0] = (digest[0] ^ hash.readUInt32BE(0)) >>> 0
  digest[1] = (digest[1] ^ hash.readUInt32BE(4)) >>> 0
}

function formatDigest ([high, low]: [number, number]): string {
  return high.toString(16).padStart(8, '0') + low.toString(16).padStart(8, '0')
}

/** Formats JSON with sorted keys, because the order of fields differs between encoders. */
function formatCanonical (value: unknown): string {
  return JSON.stringify(value, (_, field: unknown) => field !== null && typeof field === 'object' && !Array.isArray(field)
    ? Object.fromEntries(Object.entries(field).sort(([left], [right]) => left < right ? -1 : 1))
    : field) ?? 'null'
}
