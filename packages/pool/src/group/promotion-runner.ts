import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import { Promotion, type PromotionEffect, type PromotionEvent } from '@tanagerusher/coordination/failover/promotion'
import type { Logger } from 'winston'

interface CreateOptions {
  group: string
  members: readonly string[]
  seed: number
  avoid: string | undefined
  databases: DatabaseGroup
  clock: Clock
  logger: Logger
  handleEnd: (result: { succeeded: boolean, retryAfterMs: number }) => void
}

/** Delay before a promote call is repeated after it failed or its response was lost. */
const PROMOTE_RETRY_DELAY_MS = 50

/** Executes the database calls of a promotion. Late responses are passed on too, because `Promotion` checks their term. */
export class PromotionRunner {
  readonly #options: CreateOptions
  readonly #promotion: Promotion
  #timer: NodeJS.Timeout | undefined
  #startedAt = 0

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#promotion = Promotion.create({ members: options.members, seed: options.seed, avoid: options.avoid })
  }

  static create (options: CreateOptions): PromotionRunner {
    return new PromotionRunner(options)
  }

  start (highestTerm: number, reason: string): void {
    this.#startedAt = this.#options.clock.readTime()
    this.#options.logger.warn('promotion starts', { group: this.#options.group, highestTerm, reason })
    this.#handle({ type: 'start', highestTerm })
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #handle (event: PromotionEvent): void {
    for (const effect of this.#promotion.handle(event, this.#options.clock.readTime())) this.#apply(effect)
    this.#scheduleTick()
  }

  #scheduleTick (): void {
    clearTimeout(this.#timer)
    const deadline = this.#promotion.findNextDeadline()
    if (deadline === undefined) return
    this.#timer = setTimeout(() => { this.#handle({ type: 'tick' }) }, Math.max(1, deadline - this.#options.clock.readTime()))
  }

  #apply (effect: PromotionEffect): void {
    switch (effect.type) {
      case 'raise-term': void this.#raiseTerm(effect.database, effect.term); break
      case 'promote': void this.#promote(effect.database, effect.term); break
      case 'follow': this.#options.databases.follow(effect.database, effect.term, effect.primary).catch(() => {}); break
      case 'ended': this.#end(effect)
    }
  }

  async #raiseTerm (database: string, term: number): Promise<void> {
    try {
      const response = await this.#options.databases.raiseTerm(database, term)
      this.#handle({ type: 'raise-completed', database, term, ...response })
    } catch {
      this.#handle({ type: 'raise-failed', database, term })
    }
  }

  async #promote (database: string, term: number): Promise<void> {
    try {
      const promoted = await this.#options.databases.promote(database, term)
      this.#handle({ type: 'promote-completed', database, term, promoted })
    } catch {
      setTimeout(() => { this.#handle({ type: 'promote-failed', database, term }) }, PROMOTE_RETRY_DELAY_MS)
    }
  }

  #end ({ succeeded, term, primary, retryAfterMs, reason }: Extract<PromotionEffect, { type: 'ended' }>): void {
    const { clock, group, handleEnd, logger } = this.#options
    logger.warn('promotion ended', { group, succeeded, term, primary, reason, durationMs: Math.round(clock.readTime() - this.#startedAt) })
    handleEnd({ succeeded, retryAfterMs })
  }
}
