import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance } from 'fastify'
import { databaseFaultsSchema, type DatabaseFaults } from '../faults/database-faults.js'
import type { FaultState } from '../faults/fault-state.js'

interface OpenOptions {
  address: string
  port: number
  faults: FaultState
  /** All databases of the group. */
  members: readonly string[]
  /** Databases of the group that this process serves. */
  served: readonly string[]
  /** Applies crashes and restarts; resolves when they are done. */
  applyCrashes: () => Promise<void>
  readStatuses: () => unknown
}

/** HTTP server of the control port: reads and replaces faults, and reports the status of the databases without a database connection. */
export class ControlServer {
  readonly #app: FastifyInstance

  private constructor (app: FastifyInstance) {
    this.#app = app
  }

  static async open ({ address, port, faults, members, served, applyCrashes, readStatuses }: OpenOptions): Promise<ControlServer> {
    const app = fastify({ forceCloseConnections: true })
    app.get('/faults', () => faults.faults)
    app.put('/faults', async (request, reply) => {
      const parsed = databaseFaultsSchema.safeParse(request.body)
      if (!parsed.success) {
        const issue = parsed.error.issues[0]
        return await reply.code(400).send({ kind: 'settings-invalid', message: issue?.message, path: issue?.path.join('.') })
      }
      const unknown = findUnknownName(parsed.data, members, served)
      if (unknown !== undefined) return await reply.code(400).send({ kind: 'settings-invalid', message: `there is no database ${unknown}` })
      faults.replace(parsed.data)
      await applyCrashes()
      return faults.faults
    })
    app.get('/status', () => ({ databases: readStatuses() }))
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

/** Finds a name that matches no database, because a fault with a mistyped name would have no effect. */
function findUnknownName ({ partitions, lags, clients, databases }: DatabaseFaults, members: readonly string[], served: readonly string[]): string | undefined {
  const linkNames = [...partitions, ...lags].flatMap(({ from, to }) => [from, to])
  return linkNames.find((name) => name !== '*' && !members.includes(name)) ??
    [...clients.map(({ database }) => database), ...Object.keys(databases)].find((name) => name !== '*' && !served.includes(name))
}
