import { createServer } from 'node:http'

/** Stand-in for `POST /promotion`, which compares fencing tokens. */
export class PromotionEndpoint {
  #server
  #groups
  #record
  #highestTokens = new Map()

  constructor (groups, record) {
    this.#groups = groups
    this.#record = record
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })
  }

  static async open ({ address, port, groups, record }) {
    const endpoint = new PromotionEndpoint(groups, record)
    await new Promise((resolve, reject) => endpoint.#server.once('error', reject).listen(port, address, resolve))
    return endpoint
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request, response) {
    let text = ''
    for await (const chunk of request) text += chunk
    const { service, id } = JSON.parse(text)
    const token = Number(request.headers['fencing-token'])
    const isOutdated = token < (this.#highestTokens.get(service) ?? 0)
    if (!isOutdated) this.#highestTokens.set(service, token)
    const status = !isOutdated && this.#groups.get(service)?.startPromotion(id) === true ? 200 : 409
    this.#record.add('promotion', `${request.headers['lease-holder']} names ${id} of ${service} with token ${token}: ${status}`)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end('{}')
  }
}
