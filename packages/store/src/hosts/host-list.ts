interface HostRecord {
  host: string
  address: string
  port: number
  leaving: boolean
}

interface HostEvent {
  at: number
  host: string
  record: HostRecord | null
}

interface CreateOptions {
  delayMs: number
  /** 0: a host stays until it is removed. */
  timeoutMs: number
  hosts: HostRecord[]
}

/** The platform's list of hosts. It shows the past: a registration becomes visible after `delayMs`. */
export class HostList {
  readonly #options: CreateOptions
  readonly #visible = new Map<string, { record: HostRecord, at: number }>()
  readonly #permanent: Set<string>
  #events: HostEvent[] = []

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#permanent = new Set(options.hosts.map(({ host }) => host))
    for (const record of options.hosts) this.#visible.set(record.host, { record, at: 0 })
  }

  static create (options: CreateOptions): HostList {
    return new HostList(options)
  }

  register (record: HostRecord, now: number): void {
    this.#events.push({ at: now, host: record.host, record })
  }

  remove (host: string, now: number): void {
    this.#events.push({ at: now, host, record: null })
  }

  list (now: number): HostRecord[] {
    const horizon = now - this.#options.delayMs
    this.#applyEvents(horizon)
    this.#removeExpired(horizon)
    return [...this.#visible.values()].map(({ record }) => record)
  }

  #applyEvents (horizon: number): void {
    const due = this.#events.filter(({ at }) => at <= horizon)
    this.#events = this.#events.filter(({ at }) => at > horizon)
    for (const { at, host, record } of due) {
      if (record === null) this.#visible.delete(host)
      else this.#visible.set(host, { record, at })
    }
  }

  #removeExpired (horizon: number): void {
    const { timeoutMs } = this.#options
    if (timeoutMs === 0) return
    for (const [host, { at }] of this.#visible) {
      if (!this.#permanent.has(host) && horizon - at > timeoutMs) this.#visible.delete(host)
    }
  }
}
