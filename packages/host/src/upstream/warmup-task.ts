import type { Clock } from '@tanagerusher/coordination/common/clock'
import { ColdDatabases } from '@tanagerusher/coordination/health/cold-databases'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { UpstreamGroup } from '@tanagerusher/state/catalogue/upstream-group'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'

interface CreateOptions {
  findCatalogue: () => Catalogue | undefined
  /** Part of a cold database's requests per second that this host may send. */
  findShare: (record: UpstreamRecord) => number
  clock: Clock
  logger: Logger
}

/** Knows which databases are cold and how many requests this host may send to them. Groups without a limit have no cold databases. */
export class WarmupTask {
  readonly #options: CreateOptions
  readonly #databases = ColdDatabases.create()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): WarmupTask {
    return new WarmupTask(options)
  }

  isCold (record: UpstreamRecord): boolean {
    return this.#databases.isCold(record.id, this.#options.clock.readTime()) && this.#findWarmup(record) !== undefined
  }

  /** Requests per second that this host may send to the database; undefined unless it is cold. */
  findRate (record: UpstreamRecord): number | undefined {
    if (!this.#databases.isCold(record.id, this.#options.clock.readTime())) return undefined
    const warmup = this.#findWarmup(record)
    return warmup === undefined ? undefined : warmup.requestsPerSecond * this.#options.findShare(record)
  }

  handleEntry (record: UpstreamRecord): void {
    const { clock } = this.#options
    const wasCold = this.isCold(record)
    const durationMs = this.#databases.applyEntry(record, clock.readTime())
    if (durationMs !== undefined && (durationMs > 0 || wasCold)) this.#log(record, durationMs, 'entry')
  }

  handleRemoved (id: string): void {
    this.#databases.remove(id)
  }

  /** Treats databases as cold for the whole duration of their group's limit. */
  addAll (records: readonly UpstreamRecord[], reason: string): void {
    for (const record of records) {
      const warmup = this.#findWarmup(record)
      if (warmup === undefined) continue
      this.#databases.add(record.id, warmup.durationMs, this.#options.clock.readTime())
      this.#log(record, warmup.durationMs, reason)
    }
  }

  #findWarmup ({ group }: UpstreamRecord): UpstreamGroup['warmup'] {
    return this.#options.findCatalogue()?.groups.get(group)?.warmup
  }

  #log (record: UpstreamRecord, durationMs: number, reason: string): void {
    if (this.#findWarmup(record) === undefined) return
    this.#options.logger.info(durationMs > 0 ? 'database is cold' : 'database is warm', { database: record.id, durationMs: Math.round(durationMs), ratePerSecond: this.findRate(record), reason, revision: record.revision })
  }
}
