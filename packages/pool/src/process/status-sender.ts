import type { GroupTask } from '../group/group-task.js'

interface CreateOptions {
  send: (task: GroupTask) => void
}

/** A group under load changes thousands of times a second; entries need no more than this. */
const SPACING_MS = 10
/** Ages in a status grow although nothing changes, and a lost entry must notice silence. */
const REFRESH_MS = 200

/** Limits how often the state of a group is sent to the entries that watch it. */
export class StatusSender {
  readonly #send: (task: GroupTask) => void
  readonly #scheduled = new Map<GroupTask, NodeJS.Timeout>()

  private constructor (send: (task: GroupTask) => void) {
    this.#send = send
  }

  static create ({ send }: CreateOptions): StatusSender {
    return new StatusSender(send)
  }

  get refreshMs (): number { return REFRESH_MS }

  /** Sends the group's state soon; changes in between are sent together. */
  schedule (task: GroupTask): void {
    if (this.#scheduled.has(task)) return
    this.#scheduled.set(task, setTimeout(() => {
      this.#scheduled.delete(task)
      this.#send(task)
    }, SPACING_MS))
  }

  close (): void {
    for (const timer of this.#scheduled.values()) clearTimeout(timer)
    this.#scheduled.clear()
  }
}
