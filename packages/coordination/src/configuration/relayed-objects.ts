import type { StoreObject } from '../common/store-object.js'
import { computeHash } from '../common/compute-hash.js'
import type { RelayedState } from './relayed-state.js'

interface Delta { revision: number, names: string[], changed: StoreObject[] }

export type RelayedNews =
  /** The other copy is the same; its proof counts here too. */
  | { type: 'confirmed' }
  /** The other copy is newer. */
  | { type: 'newer' }
  | { type: 'nothing' }

/** Age that stands for no proof at all; far above every limit, and a number that any codec carries. */
const NO_PROOF_AGE_MS = 1e9

/**
 * Copy of one kind of the store's objects that hosts take from each other, so that few of them call the store. Every proof
 * counts from before the request that it rests on, also over several hosts, so an age can only be too high.
 */
export class RelayedObjects {
  #objects = new Map<string, StoreObject>()
  #revision = -1
  #digest = 0
  #provenAt = -Infinity
  #invalidatedAt = -Infinity

  static create (): RelayedObjects {
    return new RelayedObjects()
  }

  get revision (): number { return this.#revision }
  get isLoaded (): boolean { return this.#revision >= 0 }
  get objects (): StoreObject[] { return [...this.#objects.values()] }

  readProofAge (now: number): number { return now - this.#provenAt }

  /** `returnedAt` is when the store was last regained. */
  describe (returnedAt: number | undefined, now: number): RelayedState {
    const returnAgeMs = returnedAt === undefined ? NO_PROOF_AGE_MS : now - returnedAt
    return { revision: this.#revision, digest: this.#digest, ageMs: Math.min(NO_PROOF_AGE_MS, this.readProofAge(now)), returnAgeMs }
  }

  /** Takes a complete list. Returns the names that are gone. */
  applyList (objects: readonly StoreObject[], revision: number): string[] {
    const before = this.#objects
    this.#objects = new Map(objects.map((object) => [object.name, object]))
    this.#advance(revision)
    return [...before.keys()].filter((name) => !this.#objects.has(name))
  }

  applyChanges (changes: ReadonlyArray<{ object: StoreObject, isRemoved: boolean }>, revision: number): void {
    for (const { object, isRemoved } of changes) {
      if (isRemoved) this.#objects.delete(object.name)
      else this.#objects.set(object.name, object)
    }
    this.#advance(revision)
  }

  /** The copy was complete at `provenAt`, as the answer to a question of `askedAt` shows. */
  confirm (provenAt: number, askedAt = provenAt): void {
    if (askedAt > this.#invalidatedAt) this.#provenAt = Math.max(this.#provenAt, provenAt)
  }

  /** After a suspension no time that was measured before it can be trusted, nor an answer to an earlier question. */
  invalidateProof (now: number): void {
    this.#provenAt = -Infinity
    this.#invalidatedAt = now
  }

  /** Compares with what another host answered to a request that was sent at `sentAt`. */
  compare (other: RelayedState, sentAt: number): RelayedNews {
    if (other.revision < 0) return { type: 'nothing' }
    if (other.digest === this.#digest && this.isLoaded) {
      this.#revision = Math.max(this.#revision, other.revision)
      this.confirm(sentAt - other.ageMs, sentAt)
      return { type: 'confirmed' }
    }
    return other.revision > this.#revision ? { type: 'newer' } : { type: 'nothing' }
  }

  /** What another host lacks whose copy corresponds to `since`. */
  listChanges (since: number): Delta {
    return { revision: this.#revision, names: [...this.#objects.keys()], changed: this.objects.filter(({ revision }) => revision > since) }
  }

  /** Takes the answer to `listChanges`; false when it is older than this copy by now. */
  applyDelta ({ revision, names, changed }: Delta): { removed: string[] } | undefined {
    if (revision <= this.#revision) return undefined
    const present = new Set(names)
    const removed = [...this.#objects.keys()].filter((name) => !present.has(name))
    for (const name of removed) this.#objects.delete(name)
    for (const object of changed) this.#objects.set(object.name, object)
    this.#advance(revision)
    return { removed }
  }

  #advance (revision: number): void {
    this.#revision = Math.max(this.#revision, revision)
    this.#digest = [...this.#objects.values()].reduce((sum, object) => (sum + computeHash(`${object.name} ${object.revision}`)) >>> 0, 1)
  }
}
