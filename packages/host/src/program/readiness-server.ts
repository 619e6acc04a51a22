import { createServer, type Server } from 'node:http'

interface OpenOptions {
  address: string
  port: number
  path: string
  isReady: () => boolean
}

/** Answers the balancer's question whether this host takes callers. */
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

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
