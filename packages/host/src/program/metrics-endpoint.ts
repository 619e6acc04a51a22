import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Logger } from 'winston'

interface OpenOptions {
  address: string
  /** 0 lets the system choose a port; see `port`. */
  port: number
  render: () => Promise<{ contentType: string, text: string }>
  logger: Logger
}

/** Serves /metrics. */
export class MetricsEndpoint {
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
  }

  static async open ({ address, port, render, logger }: OpenOptions): Promise<MetricsEndpoint> {
    const server = createServer((request, response) => {
      if (request.url !== '/metrics') {
        response.writeHead(404).end()
        return
      }
      render().then(
        ({ contentType, text }) => { response.writeHead(200, { 'content-type': contentType }).end(text) },
        (error: unknown) => {
          logger.error('metrics were not rendered', { reason: String(error) })
          response.writeHead(500).end()
        }
      )
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, address, resolve)
    })
    return new MetricsEndpoint(server)
  }

  get port (): number { return (this.#server.address() as AddressInfo).port }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
