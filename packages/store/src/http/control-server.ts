import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance } from 'fastify'
import type { CallStatistics } from '../budget/call-statistics.js'
import type { FaultState } from '../faults/fault-state.js'
import { storeFaultsSchema } from '../faults/store-faults.js'

interface OpenOptions {
  address: string
  port: number
  faultState: FaultState
  statistics: CallStatistics
}

/** HTTP server of the control port, for faults and statistics. It also works during an injected outage, and its calls are not metered. */
export class ControlServer {
  readonly #app: FastifyInstance

  private constructor (app: FastifyInstance) {
    this.#app = app
  }

  static async open ({ address, port, faultState, statistics }: OpenOptions): Promise<ControlServer> {
    const app = fastify({ forceCloseConnections: true })
    app.get('/faults', () => faultState.current)
    app.put('/faults', async (request, reply) => {
      const parsed = storeFaultsSchema.safeParse(request.body)
      if (!parsed.success) return await reply.code(400).send({ kind: 'settings-invalid', message: parsed.error.issues[0]?.message, path: parsed.error.issues[0]?.path.join('.') })
      faultState.replace(parsed.data)
      return faultState.current
    })
    app.get('/statistics', () => statistics.list())
    await app.listen({ host: address, port })
    return new ControlServer(app)
  }

  get port (): number {
    return (this.#app.server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    await this.#app.close()
  }
}
