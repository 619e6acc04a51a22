import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** A running database registers again within this time after the store becomes reachable, if its entry expired during the outage. */
const REREGISTRATION_MS = 2500

interface ExpiredEntry { record: UpstreamRecord, retainedUntil: number }

/**
 * Databases that are registered in the store. A removal applies immediately, unless the store was unreachable shortly before: then
 * the entry may have expired only because its database could not renew it, and is retained until the database has had time to
 * register again.
 */
export class UpstreamDirectory {
  readonly #records = new Map<string, UpstreamRecord>()
  readonly #expired = new Map<string, ExpiredEntry>()

  static create (): UpstreamDirectory {
    return new UpstreamDirectory()
  }

  applyRecord (record: UpstreamRecord): void {
    this.#records.set(record.id, record)
    this.#expired.delete(record.id)
  }

  remove (id: string, storeRecoveredAt: number | undefined, now: number): void {
    const record = this.#records.get(id)
    this.#records.delete(id)
    if (record !== undefined) this.#addExpired(record, storeRecoveredAt, now)
  }

  find (id: string, now: number): UpstreamRecord | undefined {
    const expired = this.#expired.get(id)
    return this.#records.get(id) ?? (expired !== undefined && expired.retainedUntil > now ? expired.record : undefined)
  }

  listGroup (group: string, now: number): UpstreamRecord[] {
    return this.listAll(now).filter((record) => record.group === group)
  }

  listAll (now: number): UpstreamRecord[] {
    for (const [id, { retainedUntil }] of this.#expired) if (retainedUntil <= now) this.#expired.delete(id)
    return [...this.#records.values(), ...[...this.#expired.values()].map(({ record }) => record)]
  }

  #addExpired (record: UpstreamRecord, storeRecoveredAt: number | undefined, now: number): void {
    if (record.isLeaving || storeRecoveredAt === undefined) return
    const retainedUntil = storeRecoveredAt + REREGISTRATION_MS
    if (retainedUntil > now) this.#expired.set(record.id, { record, retainedUntil })
  }
}
