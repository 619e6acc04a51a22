import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { FastifyInstance } from 'fastify'
import { loadTls } from '../settings/load-tls.js'
import type { AdministrationContext } from './administration-context.js'

/**
 * HTTP server of the administration API. The web framework is loaded at the first request, because most hosts never receive one and
 * the control process must stay within 64 MB.
 */
export class AdministrationServer {
  readonly #context: AdministrationContext
  readonly #server: Server
  #app: Promise<FastifyInstance> | undefined

  private constructor (context: AdministrationContext) {
    this.#context = context
    const tls = loadTls(context.settings.tls)
    const handle = (request: IncomingMessage, response: ServerResponse): void => { void this.#handle(request, response) }
    this.#server = tls === undefined ? createServer(handle) : createTlsServer({ cert: tls.cert, key: tls.key }, handle)
  }

  static async open (context: AdministrationContext): Promise<AdministrationServer> {
    const administration = new AdministrationServer(context)
    const { administration: { port, address }, address: hostAddress } = context.settings
    await new Promise<void>((resolve, reject) => {
      administration.#server.once('error', reject)
      administration.#server.listen(port, address ?? hostAddress, resolve)
    })
    return administration
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise((resolve) => this.#server.close(resolve))
    await (await this.#app)?.close()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      this.#app ??= this.#loadApp()
      const app = await this.#app
      app.routing(request, response)
    } catch (error) {
      this.#app = undefined
      this.#context.logger.error('the administration API could not be loaded', { error: String(error) })
      response.statusCode = 500
      response.end()
    }
  }

  async #loadApp (): Promise<FastifyInstance> {
    const { createAdministrationApp } = await import('./create-administration-app.js')
    const app = createAdministrationApp(this.#context)
    await app.ready()
    return app
  }
}
