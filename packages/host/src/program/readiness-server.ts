import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

interface OpenOptions {
  address: string
  /** 0 lets the system choose a port; see `ReadinessServer.port`. */
  port: number
  path: string
  isReady: () => boolean
}

/** Serves the readiness check of the load balancer: 200 while this host accepts callers, otherwise 503. */
export class ReadinessServer {
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
  }

  static async open ({ address, port, path, isReady }: OpenOptions): Promise<ReadinessServer> {
    const server = createServer((request, response) => {
      response.statusCode = request.url === path ? (isReady() ? 200 : 503) : 404
      response.end()
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, address, resolve)
    })
    return new ReadinessServer(server)
  }

  get port (): number { return (this.#server.address() as AddressInfo).port }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
