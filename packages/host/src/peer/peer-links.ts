import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import { PeerLink, type PingResponse } from './peer-link.js'

interface CreateOptions {
  hello: PeerHello
  clock: Clock
  logger: Logger
  handlePingResponse: (link: PeerLink, response: PingResponse, sentAt: number) => void
}

/** Links of this host to the others, created on first use. */
export class PeerLinks {
  readonly #options: CreateOptions
  #links = new Map<string, PeerLink>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PeerLinks {
    return new PeerLinks(options)
  }

  get all (): PeerLink[] { return [...this.#links.values()] }

  /** Returns the link to a host. A restarted host has a new incarnation and gets a new link. */
  find (record: HostRecord): PeerLink {
    const existing = this.#links.get(record.host)
    if (existing !== undefined && existing.record.incarnation === record.incarnation) return existing
    existing?.close()
    const link = PeerLink.create({ ...this.#options, record })
    this.#links.set(record.host, link)
    return link
  }

  /** Closes the links to hosts that are gone, except open ones: calls in flight to a leaving host may still complete. */
  updateHosts (records: readonly HostRecord[]): void {
    const present = new Set(records.map(({ host }) => host))
    for (const [host, link] of this.#links) {
      if (present.has(host) || link.isUp) continue
      link.close()
      this.#links.delete(host)
    }
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }
}
