import type { ConnectionOptions } from 'node:tls'
import { cancelSession } from '@tanagerusher/protocol/peer/cancel-session'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import { SessionRegistry } from '../session/session-registry.js'

interface CreateOptions {
  registry: SessionRegistry
  hello: PeerHello
  tls?: ConnectionOptions
  listMembers: () => readonly FleetMember[]
}

const CANCEL_TIMEOUT_MS = 2000

/** Forwards a CancelRequest to the entry that has the session, because the load balancer may send the request to any host. */
export class CancelForwarder {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): CancelForwarder {
    return new CancelForwarder(options)
  }

  async cancel (processId: number, secret: number): Promise<void> {
    const { registry, hello, listMembers } = this.#options
    if (registry.cancel(processId, secret)) return
    const hash = SessionRegistry.readHostHash(processId)
    const targets = listMembers().filter(({ host }) => host !== hello.host && SessionRegistry.computeHostHash(host) === hash)
    await Promise.allSettled(targets.map(async (member) => { await this.#forward(member, processId, secret) }))
  }

  async #forward ({ addresses: { entry } }: FleetMember, processId: number, secret: number): Promise<void> {
    if (entry === undefined) return
    const { hello, tls } = this.#options
    const connection = await openPeerConnection({ ...entry, hello, ...(tls === undefined ? {} : { tls }) })
    try {
      await connection.request(cancelSession, { processId, secret }, CANCEL_TIMEOUT_MS)
    } finally {
      connection.close()
    }
  }
}
