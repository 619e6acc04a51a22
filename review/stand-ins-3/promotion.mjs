import { createServer } from 'node:http'

/** Stand-in for the platform's promotion endpoint, which checks the fence of every call. */
export class Promotion {
  calls = []
  #groups = new Map()
  #fences = new Map()
  #server = createServer((request, response) => {
    let text = ''
    request.on('error', () => {})
    request.on('data', (chunk) => { text += chunk })
    request.on('end', () => {
      const { service, id } = JSON.parse(text)
      const fence = Number(request.headers['fencing-token'])
      const isOutdated = fence < (this.#fences.get(service) ?? 0)
      if (!isOutdated) this.#fences.set(service, fence)
      const status = !isOutdated && this.#groups.get(service)?.promote(id) === true ? 200 : 409
      this.calls.push({ at: Date.now(), service, id, holder: request.headers['lease-holder'], fence, status })
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end('{}')
    })
  })

  static async open (groups) {
    const promotion = new Promotion()
    for (const group of groups) promotion.#groups.set(group.name, group)
    await new Promise((resolve) => { promotion.#server.listen(0, '127.0.0.1', resolve) })
    return promotion
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
