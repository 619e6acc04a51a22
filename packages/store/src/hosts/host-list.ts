interface HostRecord {
  host: string
  address: string
  port: number
  leaving: boolean
}

interface HostEvent {
  occurredAt: number
  host: string
  record: HostRecord | null
}

interface CreateOptions {
  delayMs: number
  /** Time after its last registration at which a host is removed; 0 keeps it until `remove` is called. */
  timeoutMs: number
  hosts: HostRecord[]
}

/** The platform's list of hosts as it was `delayMs` ago: a registration or removal becomes visible only after that delay. */
export class HostList {
  readonly #options: CreateOptions
  readonly #visible = new Map<string, { record: HostRecord, registeredAt: number }>()
  readonly #configuredHosts: Set<string>
  #events: HostEvent[] = []

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#configuredHosts = new Set(options.hosts.map(({ host }) => host))
    for (const record of options.hosts) this.#visible.set(record.host, { record, registeredAt: 0 })
  }

  static create (options: CreateOptions): HostList {
    return new HostList(options)
  }

  register (record: HostRecord, now: number): void {
    this.#events.push({ occurredAt: now, host: record.host, record })
  }

  remove (host: string, now: number): void {
    this.#events.push({ occurredAt: now, host, record: null })
  }

  list (now: number): HostRecord[] {
    const visibleUntil = now - this.#options.delayMs
    this.#applyEvents(visibleUntil)
    this.#removeExpired(visibleUntil)
    return [...this.#visible.values()].map(({ record }) => record)
  }

  #applyEvents (visibleUntil: number): void {
    const due = this.#events.filter(({ occurredAt }) => occurredAt <= visibleUntil)
    this.#events = this.#events.filter(({ occurredAt }) => occurredAt > visibleUntil)
    for (const { occurredAt, host, record } of due) {
      if (record === null) this.#visible.delete(host)
      else this.#visible.set(host, { record, registeredAt: occurredAt })
    }
  }

  #removeExpired (visibleUntil: number): void {
    const { timeoutMs } = this.#options
    if (timeoutMs === 0) return
    for (const [host, { registeredAt }] of this.#visible) {
      if (!this.#configuredHosts.has(host) && visibleUntil - registeredAt > timeoutMs) this.#visible.delete(host)
    }
  }
}
