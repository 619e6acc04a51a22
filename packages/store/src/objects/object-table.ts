import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import type { StoredObject } from '@tanagerusher/coordination/common/stored-object'

const COMPACTION_MINIMUM_CHANGES = 1000

/**
 * Objects of all kinds with one shared version counter. Every update is conditional on the object's version; 0 means that the
 * object does not exist. Deletions stay in the change list so that a watch from any version returns them.
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

  /** Returns the changes of `kinds` after a version, in order of version. A change that a later one supersedes may be absent. */
  findChanges (kinds: readonly string[], afterVersion: number): StoredChange[] {
    const start = this.#findFirstAfter(afterVersion)
    return this.#changes.slice(start).filter((change) => kinds.includes(readChangedObject(change).kind))
  }

  #check (kind: string, name: string, expected: number): void {
    const found = this.read(kind, name)?.version ?? 0
    if (found === expected) return
    throw TanagerusherError.create('version-conflict', { details: { object: `${kind}/${name}`, expected, found } })
  }

  #record (change: StoredChange): void {
    this.#changes.push(change)
    if (this.#changes.length > COMPACTION_MINIMUM_CHANGES + 2 * this.#objects.size) this.#compact()
  }

  /** Drops all but the last change of each object, so that the list does not grow with every update. */
  #compact (): void {
    const last = new Map<string, StoredChange>()
    for (const change of this.#changes) {
      const { kind, name } = readChangedObject(change)
      last.set(formatKey(kind, name), change)
    }
    this.#changes = [...last.values()].sort((left, right) => readChangedObject(left).version - readChangedObject(right).version)
  }

  #findFirstAfter (version: number): number {
    let low = 0
    let high = this.#changes.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (readChangedObject(this.#changes[middle] as StoredChange).version > version) high = middle
      else low = middle + 1
    }
    return low
  }
}

function formatKey (kind: string, name: string): string {
  return `${kind}\0${name}`
}

function readChangedObject (change: StoredChange): { kind: string, name: string, version: number } {
  return change.type === 'put' ? change.object : change
}
