/**
 * A claim that was confirmed this long ago may have been taken over by another host since. It leaves room for the way of the call
 * within the time after which others take an abandoned claim over.
 */
const VALID_MS = 1000

/** Whether the promotion endpoint, which may not compare fencing tokens itself, may still be called. */
export class CallPermit {
  #confirmedAt = -Infinity

  static create (): CallPermit {
    return new CallPermit()
  }

  /** The claim was still this host's when a conditional write that was sent at `sentAt` was carried out. */
  recordConfirmed (sentAt: number): void {
    this.#confirmedAt = sentAt
  }

  isValid (now: number): boolean {
    return now - this.#confirmedAt < VALID_MS
  }
}
