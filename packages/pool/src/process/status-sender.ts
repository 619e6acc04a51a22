import type { GroupTask } from '../group/group-task.js'

interface CreateOptions {
  send: (task: GroupTask) => void
}

/** Bounds the load on entries: the status of a group under load changes thousands of times per second. */
const MIN_SEND_INTERVAL_MS = 10
/** An unchanged status is sent again because its ages grow, and because an entry detects a lost connection by missing statuses. */
const REFRESH_INTERVAL_MS = 200

/** Limits the rate at which the status of a group is sent to the entries that watch it. */
export class StatusSender {
  readonly #send: (task: GroupTask) => void
  readonly #scheduled = new Map<GroupTask, NodeJS.Timeout>()

  private constructor (send: (task: GroupTask) => void) {
    this.#send = send
  }

  static create ({ send }: CreateOptions): StatusSender {
    return new StatusSender(send)
  }

  get refreshIntervalMs (): number { return REFRESH_INTERVAL_MS }

  /** Sends the status of the group after `MIN_SEND_INTERVAL_MS`. Changes until then are sent together. */
  schedule (task: GroupTask): void {
    if (this.#scheduled.has(task)) return
    this.#scheduled.set(task, setTimeout(() => {
      this.#scheduled.delete(task)
      this.#send(task)
    }, MIN_SEND_INTERVAL_MS))
  }

  close (): void {
    for (const timer of this.#scheduled.values()) clearTimeout(timer)
    this.#scheduled.clear()
  }
}
