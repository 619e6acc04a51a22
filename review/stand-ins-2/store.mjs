import { createServer } from 'node:http'

/**
 * Stand-in of the platform's metadata store: objects by kind and name, one revision counter, conditional writes, watches.
 * `delayWrite` may return a time in ms; the write is then carried out after it and never answered.
 */
export class Store {
  calls = 0
  writes = 0
  delayWrite = () => undefined
  #revision = 500
  #kinds = new Map()
  #events = []
  #waiting = new Set()
  #server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })

  static async open () {
    const store = new Store()
    await new Promise((resolve) => { store.#server.listen(0, '127.0.0.1', resolve) })
    return store
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  list (kind) { return [...this.#find(kind).values()] }

  /** Writes an object as the operator or a database does. The return is the confirmation. */
  put (kind, name, spec) {
    const before = this.#find(kind).get(name)
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before
    return this.#record(kind, { meta: { ...this.#buildMeta(name), ...before?.meta }, spec, status: null }, false)
  }

  delete (kind, name) {
    const object = this.#find(kind).get(name)
    if (object !== undefined) this.#record(kind, object, true)
  }

  #buildMeta (name) { return { name, rev: 0, created: this.#revision, finalizers: [], deleting: false } }

  #find (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #record (kind, object, removed) {
    const stored = { ...object, meta: { ...object.meta, rev: ++this.#revision } }
    if (removed) this.#find(kind).delete(stored.meta.name)
    else this.#find(kind).set(stored.meta.name, stored)
    this.#events.push({ kind, object: stored, removed })
    for (const wake of this.#waiting) wake()
    return stored
  }

  async #handle (request, response) {
    this.calls++
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString('utf8')
    const body = text === '' ? undefined : JSON.parse(text)
    const url = new URL(request.url, 'http://store')
    const [, , kind, pathName] = url.pathname.split('/').map(decodeURIComponent)
    if (request.method !== 'GET') {
      this.writes++
      const delayMs = this.delayWrite({ method: request.method, kind, name: pathName ?? body?.meta?.name, spec: body?.spec })
      if (delayMs !== undefined) {
        setTimeout(() => { this.#write(request.method, kind, pathName, url, body) }, delayMs).unref()
        return
      }
    }
    const [status, result] = request.method === 'GET' ? await this.#read(kind, pathName, url) : this.#write(request.method, kind, pathName, url, body)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(result))
  }

  async #read (kind, name, url) {
    const watch = url.searchParams.get('watch')
    if (name !== undefined) return this.#find(kind).has(name) ? [200, this.#find(kind).get(name)] : [404, {}]
    if (watch === null) return [200, { items: this.list(kind), more: false, 'store-revision': this.#revision }]
    const deadline = performance.now() + Number(url.searchParams.get('wait-ms') ?? 0)
    for (;;) {
      const events = this.#events.filter((event) => event.kind === kind && event.object.meta.rev > Number(watch))
      const leftMs = deadline - performance.now()
      if (events.length > 0 || leftMs <= 0) return [200, { events: events.map(({ object, removed }) => ({ object, removed })), 'store-revision': this.#revision }]
      await new Promise((resolve) => {
        const finish = () => { clearTimeout(timer); this.#waiting.delete(finish); resolve() }
        const timer = setTimeout(finish, leftMs)
        this.#waiting.add(finish)
      })
    }
  }

  #write (method, kind, pathName, url, body) {
    const name = pathName ?? body?.meta?.name
    const object = this.#find(kind).get(name)
    if (method === 'POST') return object !== undefined ? [409, object] : [201, this.#record(kind, { meta: this.#buildMeta(name), spec: body.spec, status: null }, false)]
    if (object === undefined) return [404, {}]
    const expected = body?.meta?.rev ?? (url.searchParams.has('rev') ? Number(url.searchParams.get('rev')) : undefined)
    if (expected !== undefined && expected !== object.meta.rev) return [409, object]
    if (method === 'DELETE') return [200, this.#record(kind, object, true)]
    if (JSON.stringify(object.spec) === JSON.stringify(body.spec)) return [200, object]
    return [200, this.#record(kind, { ...object, spec: body.spec }, false)]
  }
}
