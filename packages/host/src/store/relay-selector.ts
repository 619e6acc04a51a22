import { chooseRelays } from '@tanagerusher/coordination/configuration/choose-relays'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { PeerLinks } from '../peer/peer-links.js'

interface CreateOptions {
  self: string
  links: PeerLinks
}

const TICK_INTERVAL_MS = 500

/** Chooses the relays, which watch the store for all hosts: the first reachable hosts in an order that is the same at every host. */
export class RelaySelector {
  readonly #options: CreateOptions
  #hosts: readonly HostRecord[] = []
  #relays: HostRecord[] = []
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RelaySelector {
    return new RelaySelector(options)
  }

  /** Number of known hosts. */
  get hostCount (): number { return this.#hosts.length }
  get isSelfRelay (): boolean { return this.#relays.some(({ host }) => host === this.#options.self) }

  start (): void {
    this.#tick()
  }

  updateHosts (hosts: readonly HostRecord[]): void {
    this.#hosts = hosts
    this.#choose()
  }

  /** Pings the relays immediately, since confirmations from before a suspension or a clock step are not valid any more. */
  refresh (): void {
    const { links, self } = this.#options
    for (const relay of this.#relays) if (relay.host !== self) links.find(relay).refresh()
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #choose (): void {
    const { links, self } = this.#options
    const usable = this.#hosts.filter((record) => record.host === self || links.find(record).readDownMs() === 0)
    this.#relays = chooseRelays(usable)
  }

  /** Keeps the links to the relays open, since ping responses carry the state of their copies. */
  #tick (): void {
    const { links, self } = this.#options
    this.#choose()
    for (const relay of this.#relays) if (relay.host !== self) links.find(relay).watch()
    this.#timer = setTimeout(() => { this.#tick() }, TICK_INTERVAL_MS)
  }
}
