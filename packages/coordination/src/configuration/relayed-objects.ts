import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { StoreObject } from '../common/store-object.js'
import { computeHash } from '../common/compute-hash.js'
import type { RelayedState } from './relayed-state.js'

/** Changes of a copy, with the counters of their revisions, which are all of one era. */
interface Delta { era: number, revision: number, names: string[], changed: StoreObject[] }

export type CopyComparison =
  /** The copies are equal, so the confirmation of the other copy also holds for this one. */
  | { type: 'confirmed' }
  | { type: 'newer' }
  | { type: 'nothing' }

/** Age of a copy that was never confirmed. It is far above every limit and, unlike Infinity, can be encoded by any codec. */
const UNCONFIRMED_AGE_MS = 1e9

/**
 * Copy of one kind of the store's objects that hosts fetch from each other, so that few of them call the store. A confirmation
 * that the copy is current counts from before the confirming request was sent, also when it was relayed by several hosts, so a
 * reported age is never too low.
 */
export class RelayedObjects {
  #objects = new Map<string, StoreObject>()
  #revision = -1
  #digest = 0
  #confirmedAt = -Infinity
  #invalidatedAt = -Infinity

  static create (): RelayedObjects {
    return new RelayedObjects()
  }

  get revision (): number { return this.#revision }
  get isLoaded (): boolean { return this.#revision >= 0 }
  get objects (): StoreObject[] { return [...this.#objects.values()] }

  find (name: string): StoreObject | undefined { return this.#objects.get(name) }

  readConfirmationAgeMs (now: number): number { return now - this.#confirmedAt }

  /** `storeRecoveredAt` is the time at which the store last became reachable again. */
  describeState (storeRecoveredAt: number | undefined, now: number): RelayedState {
    const returnAgeMs = storeRecoveredAt === undefined ? UNCONFIRMED_AGE_MS : now - storeRecoveredAt
    return { ...orderedRevision.encode(this.#revision), digest: this.#digest, ageMs: Math.min(UNCONFIRMED_AGE_MS, this.readConfirmationAgeMs(now)), returnAgeMs }
  }

  /** Replaces the copy by a complete list. Returns the names of removed objects, or undefined when the list is older than the copy. */
  applyList (objects: readonly StoreObject[], revision: number): string[] | undefined {
    if (revision < this.#revision) return undefined
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

  /** Records that the copy was current at `confirmedAt`, according to the response to a request sent at `requestedAt`. */
  confirm (confirmedAt: number, requestedAt = confirmedAt): void {
    if (requestedAt > this.#invalidatedAt) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
  }

  /** Must be called after a suspension: times measured before it and responses to earlier requests are no longer reliable. */
  invalidateConfirmation (now: number): void {
    this.#confirmedAt = -Infinity
    this.#invalidatedAt = now
  }

  /** Compares with the state of another host's copy, received in response to a request sent at `sentAt`. */
  compare (other: RelayedState, sentAt: number): CopyComparison {
    if (other.revision < 0) return { type: 'nothing' }
    const otherRevision = orderedRevision.decode(other) ?? -1
    const isSameEra = orderedRevision.readEra(otherRevision) === orderedRevision.readEra(this.#revision)
    if (other.digest === this.#digest && isSameEra && this.isLoaded) {
      this.#revision = Math.max(this.#revision, otherRevision)
      this.confirm(sentAt - other.ageMs, sentAt)
      return { type: 'confirmed' }
    }
    return otherRevision > this.#revision ? { type: 'newer' } : { type: 'nothing' }
  }

  /**
   * Lists the changes after revision `since` together with the names of all objects, which show the removals. When `since` is of an earlier
   * era, these are all objects.
   */
  listChanges (since: number): Delta {
    const changed = this.objects.filter(({ revision }) => revision > since).map((object) => ({ ...object, revision: orderedRevision.encode(object.revision).revision }))
    return { ...orderedRevision.encode(this.#revision), names: [...this.#objects.keys()], changed }
  }

  /** Applies the result of `listChanges` from another host; returns undefined when it is not newer than this copy. */
  applyDelta (delta: Delta): { removed: string[], changed: StoreObject[] } | undefined {
    const { era, names } = delta
    const revision = orderedRevision.decode(delta)
    if (revision === undefined || revision <= this.#revision) return undefined
    const changed = delta.changed.flatMap((object) => {
      const objectRevision = orderedRevision.decode({ era, revision: object.revision })
      return objectRevision === undefined ? [] : [{ ...object, revision: objectRevision }]
    })
    const present = new Set(names)
    const removed = [...this.#objects.keys()].filter((name) => !present.has(name))
    for (const name of removed) this.#objects.delete(name)
    for (const object of changed) this.#objects.set(object.name, object)
    this.#advance(revision)
    return { removed, changed }
  }

  #advance (revision: number): void {
    this.#revision = Math.max(this.#revision, revision)
    this.#digest = [...this.#objects.values()].reduce((sum, object) => (sum + computeHash(`${object.name} ${orderedRevision.encode(object.revision).revision}`)) >>> 0, 1)
  }
}
