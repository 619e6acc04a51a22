import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { configurationUpdateNotification } from '@tanagerusher/protocol/peer/configuration-update'
import { controlSubscribe, type ControlSubscribeResult } from '@tanagerusher/protocol/peer/control-subscribe'
import { membershipUpdate, type MembershipUpdateParams } from '@tanagerusher/protocol/peer/membership-update'
import { statusReport, type StatusReportParams } from '@tanagerusher/protocol/peer/status-report'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { z } from 'zod'

type SubscribeParams = z.infer<typeof controlSubscribe.params>

interface Subscriber extends SubscribeParams {
  host: string
  connection: PeerConnection
  sentVersion: number
  report: StatusReportParams | undefined
}

interface CreateOptions {
  host: string
  replica: ConfigurationReplica
  describeMembership: (host: string) => MembershipUpdateParams
  /** Called when a process subscribes or its connection is closed. */
  handleChange: () => void
}

/** Entries and pools that receive configuration and membership from this control process. */
export class ProcessRegistry {
  readonly #options: CreateOptions
  readonly #subscribers = new Map<PeerConnection, Subscriber>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ProcessRegistry {
    return new ProcessRegistry(options)
  }

  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(controlSubscribe, async (params) => await this.#handleSubscribe(connection, params))
    connection.addMethod(statusReport, async (report) => {
      const subscriber = this.#subscribers.get(connection)
      if (subscriber !== undefined) subscriber.report = report
      return {}
    })
  }

  /** Returns the processes of this host. */
  listLocalProcesses (): Array<Pick<Subscriber, 'role' | 'address' | 'report' | 'incarnation'>> {
    return [...this.#subscribers.values()].filter(({ host }) => host === this.#options.host)
  }

  /**
   * Counts the requests that still run in the processes of this host. An entry without a report counts as one, because it may have
   * running requests; a pool without a report counts as none, because its requests come from entries.
   */
  countRemainingRequests (): number {
    return this.listLocalProcesses().reduce((sum, { role, report }) => sum + (report?.remaining ?? (role === 'entry' ? 1 : 0)), 0)
  }

  sendConfiguration (): void {
    const { replica } = this.#options
    for (const subscriber of this.#subscribers.values()) {
      const update = replica.createUpdate(subscriber.sentVersion)
      if (update === null) continue
      subscriber.sentVersion = update.toVersion
      subscriber.connection.notify(configurationUpdateNotification, update)
    }
  }

  sendMembership (): void {
    for (const { connection, host } of this.#subscribers.values()) connection.notify(membershipUpdate, this.#options.describeMembership(host))
  }

  async #handleSubscribe (connection: PeerConnection, params: SubscribeParams): Promise<ControlSubscribeResult> {
    const { replica, describeMembership, handleChange } = this.#options
    const { host } = await connection.remoteHello
    const configuration = replica.createUpdate(params.configurationVersion)
    this.#subscribers.set(connection, { ...params, host, connection, sentVersion: Math.max(replica.version, params.configurationVersion), report: undefined })
    void connection.closed.then(() => {
      this.#subscribers.delete(connection)
      handleChange()
    })
    handleChange()
    const { members, confirmedAgeMs } = describeMembership(host)
    return { configuration, members, confirmedAgeMs }
  }
}
