import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import type { StoredObject } from '@tanagerusher/coordination/common/stored-object'

const COMPACTION_MINIMUM = 1000

/**
 * Objects with one version counter over all kinds. Every update is conditional on the object's version, where 0 means
 * that it does not exist. Deletions stay in the change list so that a watch from any version sees them.
 */
export class ObjectTable {
  readonly #objects = new Map<string, StoredObject>()
  #changes: StoredChange[] = []
  #version = 0

  static create (): ObjectTable {
    return new ObjectTable()
  }

  get version (): number { return this.#version }

  read (kind: string, name: string): StoredObject | undefined {
    return this.#objects.get(formatKey(kind, name))
  }

  list (kinds: readonly string[]): StoredObject[] {
    const objects = [...this.#objects.values()].filter(({ kind }) => kinds.includes(kind))
    return objects.sort((left, right) => left.version - right.version)
  }

  /** @throws `version-conflict` when the object's version is not `expectedVersion`. */
  write (kind: string, name: string, value: unknown, expectedVersion: number): StoredObject {
    this.#check(kind, name, expectedVersion)
    const object: StoredObject = { kind, name, version: ++this.#version, value }
    this.#objects.set(formatKey(kind, name), object)
    this.#record({ type: 'put', object })
    return object
  }

  /** @throws `version-conflict` when the object's version is not `expectedVersion`. */
  remove (kind: string, name: string, expectedVersion: number): number {
    this.#check(kind, name, expectedVersion)
    this.#objects.delete(formatKey(kind, name))
    this.#record({ type: 'delete', kind, name, version: ++this.#version })
    return this.#version
  }

  /** Changes of `kinds` after a version, in order of version. A superseded change may be absent. */
  findChanges (kinds: readonly string[], afterVersion: number): StoredChange[] {
    const start = this.#findFirstAfter(afterVersion)
    return this.#changes.slice(start).filter((change) => kinds.includes(readTarget(change).kind))
  }

  #check (kind: string, name: string, expected: number): void {
    const found = this.read(kind, name)?.version ?? 0
    if (found === expected) return
    throw TanagerusherError.create('version-conflict', { details: { object: `${kind}/${name}`, expected, found } })
  }

  #record (change: StoredChange): void {
    this.#changes.push(change)
    if (this.#changes.length > COMPACTION_MINIMUM + 2 * this.#objects.size) this.#compact()
  }

  /** Keeps the last change of each object, so that the list does not grow with every update. */
  #compact (): void {
    const last = new Map<string, StoredChange>()
    for (const change of this.#changes) {
      const { kind, name } = readTarget(change)
      last.set(formatKey(kind, name), change)
    }
    this.#changes = [...last.values()].sort((left, right) => readTarget(left).version - readTarget(right).version)
  }

  #findFirstAfter (version: number): number {
    let low = 0
    let high = this.#changes.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (readTarget(this.#changes[middle] as StoredChange).version > version) high = middle
      else low = middle + 1
    }
    return low
  }
}

function formatKey (kind: string, name: string): string {
  return `${kind}\0${name}`
}

function readTarget (change: StoredChange): { kind: string, name: string, version: number } {
  return change.type === 'put' ? change.object : change
}
