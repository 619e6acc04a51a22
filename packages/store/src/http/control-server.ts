import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance } from 'fastify'
import type { CallStatistics } from '../budget/call-statistics.js'
import type { FaultState } from '../faults/fault-state.js'
import { storeFaultsSchema } from '../faults/store-faults.js'

interface OpenOptions {
  address: string
  port: number
  faults: FaultState
  statistics: CallStatistics
}

/** Control port: faults and statistics. It works during an outage and its calls are not metered. */
export class ControlServer {
  readonly #app: FastifyInstance

  private constructor (app: FastifyInstance) {
    this.#app = app
  }

  static async open ({ address, port, faults, statistics }: OpenOptions): Promise<ControlServer> {
    const app = fastify({ forceCloseConnections: true })
    app.get('/faults', () => faults.faults)
    app.put('/faults', async (request, reply) => {
      const parsed = storeFaultsSchema.safeParse(request.body)
      if (!parsed.success) return await reply.code(400).send({ kind: 'settings-invalid', message: parsed.error.issues[0]?.message, path: parsed.error.issues[0]?.path.join('.') })
      faults.replace(parsed.data)
      return faults.faults
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
