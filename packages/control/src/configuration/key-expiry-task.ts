import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformStore } from '@tanagerusher/coordination/common/platform-store'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { Logger } from 'winston'
import { runChange } from '../store/run-change.js'

interface CreateOptions {
  clock: Clock
  store: PlatformStore
  logger: Logger
  view: MembershipView
  replica: ConfigurationReplica
}

const CHECK_INTERVAL_MS = 1000

/**
 * Withdraws keys whose overlap after a rotation has ended. One serving host does so. The time of expiry is wall-clock time, because
 * it only decides when a request of an operator takes effect; no safety property depends on it.
 */
export class KeyExpiryTask {
  readonly #options: CreateOptions
  #nextCheckAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): KeyExpiryTask {
    return new KeyExpiryTask(options)
  }

  async run (): Promise<void> {
    const { clock, view, replica } = this.#options
    const now = clock.readTime()
    if (now < this.#nextCheckAt) return
    this.#nextCheckAt = now + CHECK_INTERVAL_MS
    const hosts = view.listServing(now).map(({ host }) => host)
    if (computeRendezvousOrder('key expiry', hosts)[0] !== view.self.host) return
    const wallTimeMs = Date.now()
    for (const { name, version, value } of replica.list('key')) {
      if (!value.withdrawn && typeof value.expiresAt === 'string' && Date.parse(value.expiresAt) <= wallTimeMs) await this.#withdraw(name, version, value)
    }
  }

  async #withdraw (name: string, version: number, value: Record<string, unknown>): Promise<void> {
    const { store, logger, view } = this.#options
    try {
      await runChange(store, { kind: 'key', name, value: { ...value, withdrawn: true }, expectedVersion: version, changeId: `${view.self.incarnation}/expire ${name} ${version}` })
      logger.info('audit', { operator: 'control', action: 'expire', object: `key/${name}`, result: 'accepted' })
    } catch (error) {
      logger.warn('an expired key could not be withdrawn; will be retried', { key: name, error: String(error) })
    }
  }
}
