import { ServiceTimeSums } from './service-time-sums.js'
import { ServiceTimeTracker } from './service-time-tracker.js'

interface CreateOptions {
  slots: number
}

/** A trial runs the database at another limit for a short time. A lower limit must pass twice: against the time before and the time after. */
interface Trial {
  type: 'lower' | 'confirm' | 'raise'
  limit: number
  startedAt: number
  sent: number
  saturated: number
  unfinished: number
  sums: ServiceTimeSums
}

/** Why the learned limit changed. `slowdown` is the difference of the mean logarithms of service times at the higher and the lower limit. */
interface Change { reason: 'slower with more' | 'not slower with more' | 'busy', slowdown: number | undefined, standardError: number | undefined }

/** Number of statements that a trial compares. */
const TRIAL_SAMPLES = 40
/** A trial at a slow database ends without a verdict after this time. */
const TRIAL_TIMEOUT_MS = 3000
/** Samples at the learned limit that a comparison needs. */
const MINIMUM_SAMPLES = 30
/** Above this number, earlier samples at the learned limit lose half of their weight, so that a change shows within as many statements. */
const MAXIMUM_SAMPLES = 160
/** Weight of samples at the learned limit halves in this time, so that a trial is compared with the recent past. */
const HALF_LIFE_MS = 1500
const UNCONGESTED_HALF_LIFE_MS = 10_000
/** The limit is binding when this fraction of statements starts on the last slot. */
const SATURATED_FRACTION = 0.7
/** Limit of a lowering trial relative to the learned one. Larger steps miss the best limit, smaller ones need more statements for the same certainty. */
const LOWERED_FRACTION = 0.65
/** Relative increase of service times, as a logarithm, above which a lower limit is tried. */
const MINIMUM_SLOWDOWN = 0.25
/**
 * Fraction of the full effect: when service times fall in proportion to the limit, the throughput is unchanged (1). The distance
 * between both thresholds prevents alternating decisions.
 */
const LOWER_THRESHOLD = 0.75
const RAISE_THRESHOLD = 0.6
/** A decrease needs this many standard errors of evidence, since a wrong one costs throughput. */
const MINIMUM_CERTAINTY = 2.5
/** Service times must stay longer for this time before a lower limit is tried. */
const MINIMUM_SLOW_MS = 300
const SUSPICION_VALID_MS = 3000
const FIRST_LOWER_DELAY_MS = 2000
/** The same after a trial that showed no effect; until then, a lower limit is tried again only when service times rise further. */
const REFUTED_LOWER_DELAY_MS = 20_000
const MAXIMUM_LOWER_DELAY_MS = 60_000
const MINIMUM_LOWER_DELAY_MS = 1000
/** A lowered limit is tried higher again within this time, also after several attempts that failed. */
const FIRST_RAISE_DELAY_MS = 1000
const MAXIMUM_RAISE_DELAY_MS = 2000
/** First step of a raise relative to the learned limit. After one that failed, the next raise is by one. */
const RAISED_FRACTION = 0.35
/** A database that is full sheds several statements at once, which are one observation. */
const BUSY_INTERVAL_MS = 200
/** A database that sheds statements below this fraction of its slots fails for another reason, and a lower limit only adds queueing. */
const BUSY_FLOOR_FRACTION = 0.5
/** A limit lowered by shed statements rises by one after this time without another one, also when no callers wait. */
const BUSY_RECOVERY_MS = 1000

/**
 * Learns how many statements a database runs well at a time. The limit is changed only by trials while callers wait for slots: in
 * the regular course of work, high concurrency is as often the consequence of slow statements as their cause.
 */
export class ConcurrencyLimit {
  readonly #slots: number
  readonly #serviceTimes = ServiceTimeTracker.create()
  #learned: number
  #trial: Trial | undefined
  /** Samples of statements that started on the last slot of the learned limit. */
  #steady = ServiceTimeSums.create()
  /** Samples of statements that started while at most half of the slots were in use. */
  readonly #uncongested = ServiceTimeSums.create()
  /** Service times during a lowering trial that passed the first comparison. */
  #lowered: ServiceTimeSums | undefined
  /** Service times at the last trial that failed. */
  #rejected: ServiceTimeSums | undefined
  #phase = 1
  #sent = 0
  #saturated = 0
  #decayedAt = -Infinity
  #uncongestedDecayedAt = -Infinity
  #nextLowerAt = -Infinity
  #trialEndedAt = -Infinity
  #lowerDelayMs = FIRST_LOWER_DELAY_MS
  #nextRaiseAt = -Infinity
  #raiseDelayMs = FIRST_RAISE_DELAY_MS
  #isSmallRaise = false
  #busyAt = -Infinity
  /** Time since which service times at the limit are longer than before. */
  #suspectedAt: number | undefined
  #change: Change | undefined

  private constructor ({ slots }: CreateOptions) {
    this.#slots = slots
    this.#learned = slots
  }

  static create (options: CreateOptions): ConcurrencyLimit {
    return new ConcurrencyLimit(options)
  }

  /** Number of statements that may run now. */
  get limit (): number { return this.#trial?.limit ?? this.#learned }

  /** Number of statements that the database runs well, without a trial in progress. */
  get learned (): number { return this.#learned }

  get lastChange (): Change | undefined { return this.#change }

  findServiceMs (kind: number): number | undefined { return this.#serviceTimes.find(kind) }

  /** Records that a statement starts as one of `running`. Returns a number to be passed to `finish`; 0 when it is not compared. */
  start (running: number, now: number): number {
    const trial = this.#trial
    if (trial === undefined) {
      this.#recoverFromBusy(now)
      this.#decay(now)
      this.#sent++
      if (running >= this.#learned) this.#saturated++
      // Statements of open transactions may run one above a lowered limit.
      if (running === this.#learned || running === this.#learned + 1) return this.#phase
      return running * 2 <= this.#slots ? -1 : 0
    }
    if (now - trial.startedAt > TRIAL_TIMEOUT_MS) {
      this.#rejectTrial(trial, now)
      return 0
    }
    // Statements of the time before still run above a lowered limit; a raised limit is not reached at once.
    if (trial.sent === 0 && running < trial.limit) return 0
    if (trial.sent >= TRIAL_SAMPLES || running > trial.limit + 1) return 0
    trial.sent++
    trial.unfinished++
    if (running >= trial.limit) trial.saturated++
    return this.#phase
  }

  /** Records the end of a statement; `serviceMs` is undefined when its service time is unknown or meaningless. */
  finish (tag: number, kind: number, serviceMs: number | undefined, now: number): void {
    const logarithm = serviceMs === undefined ? undefined : Math.log(Math.max(0.1, this.#serviceTimes.record(kind, serviceMs)))
    if (tag === -1 && logarithm !== undefined) this.#uncongested.add(kind, logarithm)
    if (tag === this.#phase) {
      if (logarithm !== undefined) (this.#trial?.sums ?? this.#steady).add(kind, logarithm)
      if (this.#steady.count > MAXIMUM_SAMPLES) this.#steady.scale(0.5)
      if (this.#trial !== undefined) this.#trial.unfinished--
    }
    if (this.#trial === undefined) this.#startTrialIfDue(now)
    else this.#decideTrial(this.#trial, now)
  }

  /** Records that the database shed a statement although a slot was free, while `running` were at the database. */
  recordBusy (running: number, now: number): void {
    if (now - this.#busyAt < BUSY_INTERVAL_MS) return
    this.#busyAt = now
    this.#endTrial(now)
    const floor = Math.min(this.#learned, Math.ceil(this.#slots * BUSY_FLOOR_FRACTION))
    this.#setLearned(Math.max(floor, Math.min(this.#learned, running) - 1), ServiceTimeSums.create(), 'busy')
    this.#delayRaise(now)
  }

  #recoverFromBusy (now: number): void {
    if (this.#change?.reason !== 'busy' || this.#learned >= this.#slots || now - this.#busyAt < BUSY_RECOVERY_MS) return
    this.#busyAt = now
    this.#setLearned(this.#learned + 1, ServiceTimeSums.create(), 'busy')
  }

  #startTrialIfDue (now: number): void {
    if (this.#steady.count < MINIMUM_SAMPLES || this.#saturated < this.#sent * SATURATED_FRACTION) return
    if (this.#learned < this.#slots && now >= this.#nextRaiseAt) {
      this.#startTrial('raise', this.#computeHigherLimit(), now)
      return
    }
    if (this.#learned === 1 || now - this.#trialEndedAt < MINIMUM_LOWER_DELAY_MS) return
    if (now < this.#nextLowerAt) {
      if (!this.#hasSlowed(this.#rejected)) return
      this.#lowerDelayMs = FIRST_LOWER_DELAY_MS
    }
    if (this.#uncongested.count >= MINIMUM_SAMPLES && !this.#hasSlowed(this.#uncongested)) this.#suspectedAt = undefined
    else if (this.#suspectedAt === undefined || now - this.#suspectedAt > SUSPICION_VALID_MS) this.#suspect(now)
    else if (now - this.#suspectedAt >= MINIMUM_SLOW_MS) {
      this.#suspectedAt = undefined
      this.#startTrial('lower', this.#computeLowerLimit(), now)
    }
  }

  /** Compares again with later statements only, since a database or the whole group may be slow for a moment. */
  #suspect (now: number): void {
    this.#suspectedAt = now
    this.#restartSteady()
  }

  #startTrial (type: Trial['type'], limit: number, now: number): void {
    this.#phase++
    this.#trial = { type, limit, startedAt: now, sent: 0, saturated: 0, unfinished: 0, sums: ServiceTimeSums.create() }
  }

  #decideTrial (trial: Trial, now: number): void {
    if (now - trial.startedAt > TRIAL_TIMEOUT_MS) {
      this.#rejectTrial(trial, now)
      return
    }
    const isComplete = trial.sent >= TRIAL_SAMPLES && trial.unfinished === 0
    // Too many service times were discarded or lost.
    if (isComplete && trial.sums.count < TRIAL_SAMPLES / 2) {
      this.#rejectTrial(trial, now)
      return
    }
    const isHalf = trial.sums.count === TRIAL_SAMPLES / 2
    if (!isComplete && (!isHalf || trial.type === 'confirm')) return
    if (trial.type === 'raise') this.#decideRaise(trial, isComplete, now)
    else if (!isComplete) this.#abandonIfIneffective(trial, now)
    else this.#decideLower(trial, now)
  }

  #decideRaise (trial: Trial, isComplete: boolean, now: number): void {
    const comparison = trial.sums.compare(this.#steady)
    const fullEffect = Math.log(trial.limit / this.#learned)
    // Half of the trial suffices to see that the throughput falls.
    if (!isComplete && (comparison === undefined || comparison.difference < fullEffect)) return
    // In doubt the limit is raised: a small step has an effect below the error of the comparison.
    const isBetter = this.#isSaturated(trial) && comparison !== undefined && comparison.difference < Math.max(RAISE_THRESHOLD * fullEffect, comparison.standardError)
    if (!isBetter) {
      this.#rejectTrial(trial, now)
      return
    }
    this.#endTrial(now)
    this.#setLearned(trial.limit, trial.sums, 'not slower with more', comparison)
    this.#isSmallRaise = false
    this.#raiseDelayMs = FIRST_RAISE_DELAY_MS
    this.#nextRaiseAt = now
    this.#nextLowerAt = now + this.#lowerDelayMs
  }

  /** Half of a trial suffices to see that nothing improves, which keeps the cost at uniform databases small. */
  #abandonIfIneffective (trial: Trial, now: number): void {
    const comparison = this.#steady.compare(trial.sums)
    const fullEffect = Math.log(this.#learned / trial.limit)
    const threshold = LOWER_THRESHOLD * fullEffect
    if (comparison === undefined || comparison.difference < threshold / 2) {
      const isRefuted = comparison !== undefined && this.#isSaturated(trial) && threshold - comparison.difference > 2 * comparison.standardError
      if (isRefuted) this.#lowerDelayMs = Math.max(REFUTED_LOWER_DELAY_MS, this.#lowerDelayMs)
      this.#rejectTrial(trial, now)
    }
  }

  #decideLower (trial: Trial, now: number): void {
    const [high, low] = trial.type === 'lower' ? [this.#steady, trial.sums] : [trial.sums, this.#lowered as ServiceTimeSums]
    const comparison = high.compare(low)
    const limit = this.#computeLowerLimit()
    const fullEffect = Math.log(this.#learned / limit)
    const isProven = comparison !== undefined && this.#isSaturated(trial) && comparison.difference >= LOWER_THRESHOLD * fullEffect &&
      comparison.difference >= MINIMUM_CERTAINTY * comparison.standardError
    if (!isProven) {
      this.#rejectTrial(trial, now)
      return
    }
    if (trial.type === 'lower') {
      this.#lowered = trial.sums
      this.#startTrial('confirm', this.#learned, now)
      return
    }
    this.#endTrial(now)
    this.#setLearned(limit, low, 'slower with more', comparison)
    this.#lowerDelayMs = FIRST_LOWER_DELAY_MS
    this.#nextLowerAt = now
    this.#trialEndedAt = -Infinity
    this.#suspectedAt = now - MINIMUM_SLOW_MS
    this.#raiseDelayMs = FIRST_RAISE_DELAY_MS
    this.#delayRaise(now)
  }

  /** Ends a trial that proved nothing; the next one of its kind starts later. */
  #rejectTrial (trial: Trial, now: number): void {
    this.#rejected = trial.type === 'raise' ? this.#rejected : trial.type === 'confirm' ? trial.sums : this.#steady
    this.#endTrial(now)
    if (trial.type === 'raise') {
      this.#isSmallRaise = !this.#isSmallRaise
      this.#delayRaise(now)
      return
    }
    this.#nextLowerAt = now + this.#lowerDelayMs
    this.#lowerDelayMs = Math.min(MAXIMUM_LOWER_DELAY_MS, this.#lowerDelayMs * 2)
  }

  #delayRaise (now: number): void {
    this.#nextRaiseAt = now + this.#raiseDelayMs
    this.#raiseDelayMs = Math.min(MAXIMUM_RAISE_DELAY_MS, this.#raiseDelayMs * 2)
  }

  #setLearned (limit: number, samples: ServiceTimeSums, reason: Change['reason'], comparison?: ReturnType<ServiceTimeSums['compare']>): void {
    this.#change = { reason, slowdown: comparison?.difference, standardError: comparison?.standardError }
    this.#learned = limit
    this.#phase++
    this.#steady = samples
    this.#rejected = undefined
  }

  #endTrial (now: number): void {
    if (this.#trial === undefined) return
    this.#trial = undefined
    this.#trialEndedAt = now
    this.#restartSteady()
  }

  #restartSteady (): void {
    this.#phase++
    this.#steady = ServiceTimeSums.create()
    this.#sent = 0
    this.#saturated = 0
  }

  #hasSlowed (before: ServiceTimeSums | undefined): boolean {
    const comparison = before === undefined ? undefined : this.#steady.compare(before)
    return comparison !== undefined && comparison.difference > Math.max(MINIMUM_SLOWDOWN, MINIMUM_CERTAINTY * comparison.standardError)
  }

  #computeHigherLimit (): number {
    return Math.min(this.#slots, this.#learned + (this.#isSmallRaise ? 1 : Math.ceil(this.#learned * RAISED_FRACTION)))
  }

  #computeLowerLimit (): number { return Math.max(1, Math.min(this.#learned - 1, Math.round(this.#learned * LOWERED_FRACTION))) }

  #isSaturated (trial: Trial): boolean { return trial.saturated >= trial.sent * SATURATED_FRACTION }

  #decay (now: number): void {
    if (now - this.#decayedAt >= HALF_LIFE_MS) {
      this.#decayedAt = now
      this.#steady.scale(0.5)
      this.#sent *= 0.5
      this.#saturated *= 0.5
    }
    if (now - this.#uncongestedDecayedAt < UNCONGESTED_HALF_LIFE_MS) return
    this.#uncongestedDecayedAt = now
    this.#uncongested.scale(0.5)
  }
}
