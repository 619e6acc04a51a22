import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** A running database registers again within this time after the store becomes reachable, if its entry expired during the outage. */
const REREGISTRATION_MS = 2500

/** Longer than a copy is old from which the store is restored, and than a database runs on after it has left. */
const DEPARTURE_RETENTION_MS = 60_000

interface Departure {
  startedAt: number
  /** Revision of its last entry. */
  revision: number
  leftAt: number
  /** Revision of the entry that a restored store holds from before. */
  restoredRevision?: number
}

interface RemovedEntry { record: UpstreamRecord, leftAt: number }

interface ExpiredEntry { record: UpstreamRecord, retainedUntil: number }

/**
 * Databases that are registered in the store. A removal applies immediately, unless the store was unreachable shortly before: then
 * the entry may have expired only because its database could not renew it, and is retained until the database has had time to
 * register again. A database that was leaving, or left after that, stays leaving while a restored store holds its earlier entry, until
 * the entry is written in the new era of the store.
 */
export class UpstreamDirectory {
  readonly #records = new Map<string, UpstreamRecord>()
  readonly #expired = new Map<string, ExpiredEntry>()
  /** Databases without an entry, by id, with the last one. */
  readonly #removed = new Map<string, RemovedEntry>()
  /** Databases that were leaving or had left, by id. */
  readonly #departures = new Map<string, Departure>()

  static create (): UpstreamDirectory {
    return new UpstreamDirectory()
  }

  applyRecord (received: UpstreamRecord, now: number): void {
    const record = this.#isFromBeforeDeparture(received, now) ? { ...received, isLeaving: true } : received
    this.#recordDeparture(received, now)
    this.#records.set(record.id, record)
    this.#expired.delete(record.id)
    this.#removed.delete(record.id)
  }

  remove (id: string, storeRecoveredAt: number | undefined, now: number): void {
    const record = this.#records.get(id)
    this.#records.delete(id)
    if (record === undefined) return
    for (const [left, { leftAt }] of this.#removed) if (now - leftAt > DEPARTURE_RETENTION_MS) this.#removed.delete(left)
    this.#removed.set(id, { record, leftAt: now })
    this.#recordDeparture(record, now)
    this.#addExpired(record, storeRecoveredAt, now)
  }

  find (id: string, now: number): UpstreamRecord | undefined {
    const expired = this.#expired.get(id)
    return this.#records.get(id) ?? (expired !== undefined && expired.retainedUntil > now ? expired.record : undefined)
  }

  listGroup (group: string, now: number): UpstreamRecord[] {
    return this.listAll(now).filter((record) => record.group === group)
  }

  /** Databases of a group whose entry was removed within the retention time. They may still run, for example without a path to the store. */
  listDeparted (group: string, now: number): RemovedEntry[] {
    return [...this.#removed.values()].filter(({ record, leftAt }) => record.group === group && now - leftAt <= DEPARTURE_RETENTION_MS && this.find(record.id, now) === undefined)
  }

  listAll (now: number): UpstreamRecord[] {
    for (const [id, { retainedUntil }] of this.#expired) if (retainedUntil <= now) this.#expired.delete(id)
    return [...this.#records.values(), ...[...this.#expired.values()].map(({ record }) => record)]
  }

  #recordDeparture ({ id, isLeaving, startedAt, revision }: UpstreamRecord, now: number): void {
    if (!isLeaving) return
    for (const [left, { leftAt }] of this.#departures) if (now - leftAt > DEPARTURE_RETENTION_MS) this.#departures.delete(left)
    this.#departures.set(id, { startedAt, revision, leftAt: now })
  }

  /** Whether the first entry of a new era shows the same life of a database before it left. A later entry was written in that era. */
  #isFromBeforeDeparture ({ id, startedAt, revision }: UpstreamRecord, now: number): boolean {
    const departure = this.#departures.get(id)
    if (departure === undefined || departure.startedAt !== startedAt || now - departure.leftAt > DEPARTURE_RETENTION_MS) return false
    const isRestored = orderedRevision.readEra(revision) > orderedRevision.readEra(departure.revision)
    if (!isRestored) return false
    departure.restoredRevision ??= revision
    return revision === departure.restoredRevision
  }

  #addExpired (record: UpstreamRecord, storeRecoveredAt: number | undefined, now: number): void {
    if (record.isLeaving || storeRecoveredAt === undefined) return
    const retainedUntil = storeRecoveredAt + REREGISTRATION_MS
    if (retainedUntil > now) this.#expired.set(record.id, { record, retainedUntil })
  }
}
