/**
 * After this time without a confirmation another host may have taken the claim over. It is shorter than the time after which an
 * abandoned claim is taken over, so that a call sent just before the limit still arrives in time.
 */
const CONFIRMATION_VALID_MS = 1000

/** Limits calls of the promotion endpoint, which may not compare fencing tokens itself, to a short time after the claim was confirmed. */
export class CallPermit {
  #confirmedAt = -Infinity

  static create (): CallPermit {
    return new CallPermit()
  }

  /** Records that a conditional write sent at `sentAt` succeeded, so that this host still held the claim at that time. */
  recordConfirmed (sentAt: number): void {
    this.#confirmedAt = sentAt
  }

  isValid (now: number): boolean {
    return now - this.#confirmedAt < CONFIRMATION_VALID_MS
  }
}
