import { chooseRelays } from '@tanagerusher/coordination/configuration/choose-relays'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { PeerLinks } from '../peer/peer-links.js'

interface CreateOptions {
  self: string
  links: PeerLinks
}

const TICK_MS = 500

/** Which hosts watch the store for all: the first ones in an order that all hosts compute alike, of those that answer. */
export class RelayChoice {
  readonly #options: CreateOptions
  #hosts: readonly HostRecord[] = []
  #relays: HostRecord[] = []
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RelayChoice {
    return new RelayChoice(options)
  }

  /** Hosts that are known. */
  get hosts (): number { return this.#hosts.length }
  get isSelf (): boolean { return this.#relays.some(({ host }) => host === this.#options.self) }

  start (): void {
    this.#tick()
  }

  updateHosts (hosts: readonly HostRecord[]): void {
    this.#hosts = hosts
    this.#choose()
  }

  /** Asks the relays at once what they know; after a suspension, or a step of the clock, nothing from before counts. */
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

  /** Keeps the links to the relays open; their pings bring the news. */
  #tick (): void {
    const { links, self } = this.#options
    this.#choose()
    for (const relay of this.#relays) if (relay.host !== self) links.find(relay).watch()
    this.#timer = setTimeout(() => { this.#tick() }, TICK_MS)
  }
}
