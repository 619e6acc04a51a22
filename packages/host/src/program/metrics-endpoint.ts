import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Logger } from 'winston'
import { explainQuerySchema, type ExplainQuery } from '../caller/explain-query.js'

interface OpenOptions {
  address: string
  /** 0 lets the system choose a port; see `port`. */
  port: number
  render: () => Promise<{ contentType: string, text: string }>
  /** Returns undefined when the catalogue lacks the database or the organisation. */
  explain: (query: ExplainQuery) => Record<string, unknown> | undefined
  logger: Logger
}

/** Serves /metrics, and /explain for the placement of an operation. */
export class MetricsEndpoint {
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
  }

  static async open ({ address, port, render, explain, logger }: OpenOptions): Promise<MetricsEndpoint> {
    const server = createServer((request, response) => {
      if (request.url?.startsWith('/explain?') === true) {
        writeExplanation(response, new URL(request.url, 'http://host').searchParams, explain)
        return
      }
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

function writeExplanation (response: ServerResponse, parameters: URLSearchParams, explain: OpenOptions['explain']): void {
  const query = explainQuerySchema.safeParse(Object.fromEntries(parameters))
  if (!query.success) {
    writeJson(response, 400, { kind: 'usage', message: 'The query cannot be read.', remedy: 'Use /explain?database=NAME&organisation=NAME&access=read|write.' })
    return
  }
  const explanation = explain(query.data)
  if (explanation === undefined) writeJson(response, 404, { kind: 'object-unknown', message: 'The catalogue of this host lacks the database or the organisation.', remedy: 'Check the names, and tanagerusher_catalogue_version of the host.' })
  else writeJson(response, 200, explanation)
}

function writeJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
