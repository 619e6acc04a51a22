import { createServer } from 'node:http'

/** Stand-in of the promotion endpoint. It compares fencing tokens and answers once the named database leads. */
export class Promotion {
  #groups
  #tokens = new Map()
  #record
  #server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })

  constructor (groups, record) {
    this.#groups = groups
    this.#record = record
  }

  static async open ({ groups, record }) {
    const promotion = new Promotion(groups, record)
    await new Promise((resolve) => { promotion.#server.listen(0, '127.0.0.1', resolve) })
    return promotion
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const { service, id } = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const token = Number(request.headers['fencing-token'])
    const isOutdated = token < (this.#tokens.get(service) ?? 0)
    if (!isOutdated) this.#tokens.set(service, token)
    const isDone = !isOutdated && await this.#groups.find(({ name }) => name === service)?.promote(id) === true
    this.#record(`promotion of ${id} by ${request.headers['lease-holder']} with token ${token}: ${isDone ? 200 : 409}`)
    response.writeHead(isDone ? 200 : 409, { 'content-type': 'application/json' })
    response.end('{}')
  }
}
