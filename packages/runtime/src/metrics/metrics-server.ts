import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Registry } from 'prom-client'

interface OpenOptions {
  address: string
  /** 0 lets the operating system choose a port; see `MetricsServer.port`. */
  port: number
  registry: Registry
  /** Whether the process can serve requests; /ready reports this to the load balancer and to operators. */
  isReady: () => boolean
}

/** HTTP server for /metrics (Prometheus text format), /live and /ready. */
export class MetricsServer {
  readonly #server: Server
  readonly #options: OpenOptions

  private constructor (options: OpenOptions) {
    this.#options = options
    this.#server = createServer((request, response) => { void this.#handle(request, response) })
  }

  static async open (options: OpenOptions): Promise<MetricsServer> {
    const metricsServer = new MetricsServer(options)
    await new Promise<void>((resolve, reject) => {
      metricsServer.#server.once('error', reject)
      metricsServer.#server.listen(options.port, options.address, resolve)
    })
    return metricsServer
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#server.close(() => { resolve() }) })
    this.#server.closeAllConnections()
    await closed
  }

  async #handle ({ url }: IncomingMessage, response: ServerResponse): Promise<void> {
    const { registry, isReady } = this.#options
    if (url === '/metrics') {
      response.setHeader('content-type', registry.contentType)
      response.end(await registry.metrics())
    } else if (url === '/live') {
      response.end('live\n')
    } else if (url === '/ready') {
      response.statusCode = isReady() ? 200 : 503
      response.end(isReady() ? 'ready\n' : 'not ready\n')
    } else {
      response.statusCode = 404
      response.end('not found\n')
    }
  }
}
