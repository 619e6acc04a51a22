import { createServer } from 'node:http'

const RESPONSE_MS = 4
const PING_INTERVAL_MS = 1200
/** The platform removes the entry of a database after three ping intervals of silence. */
const ENTRY_LIFETIME_MS = 3 * PING_INTERVAL_MS

/** Stand-in for the platform's object store: one revision counter, conditional writes, watches, entries of databases that lapse. */
export class Store {
  /** Called after a write has been confirmed, with its kind, name and spec. */
  handleConfirmed = () => {}
  /** Replaces a spec before it is stored. Used for the addresses of the links between machines. */
  translate = (_kind, spec) => spec
  #kinds = new Map()
  #events = []
  #waiters = new Set()
  #revision = 100
  #lapses = new Map()
  #server = createServer((request, response) => { this.#receive(request, response) })

  static async open () {
    const store = new Store()
    await new Promise((resolve) => { store.#server.listen(0, '127.0.0.1', resolve) })
    return store
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }

  find (kind, name) { return this.#findItems(kind).get(name) }

  /** Writes as the operator does. */
  put (kind, name, spec) { return this.#record(kind, name, spec, false) }

  /** Writes the entry of a database. The entry lapses unless it is written again. */
  register (name, spec) {
    this.put('servers', name, spec)
    clearTimeout(this.#lapses.get(name))
    this.#lapses.set(name, setTimeout(() => { this.remove('servers', name) }, ENTRY_LIFETIME_MS))
  }

  remove (kind, name) {
    clearTimeout(this.#lapses.get(name))
    if (this.#findItems(kind).has(name)) this.#record(kind, name, undefined, true)
  }

  close () {
    for (const timer of this.#lapses.values()) clearTimeout(timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #findItems (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #record (kind, name, spec, removed) {
    const items = this.#findItems(kind)
    const before = items.get(name)
    // A write that changes nothing keeps the revision and causes no event.
    if (!removed && before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before
    const object = { meta: { name, rev: ++this.#revision, created: before?.meta.created ?? this.#revision, finalizers: [], deleting: false }, spec: removed ? before.spec : spec, status: null }
    if (removed) items.delete(name)
    else items.set(name, object)
    this.#events.push({ kind, rev: this.#revision, event: { object, removed } })
    for (const wake of [...this.#waiters]) wake()
    return object
  }

  #receive (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => { setTimeout(() => { void this.#handle(request, response, Buffer.concat(chunks).toString('utf8')) }, RESPONSE_MS) })
  }

  async #handle (request, response, text) {
    const url = new URL(request.url, 'http://store')
    const [, , kind, rawName] = url.pathname.split('/').map(decodeURIComponent)
    const body = text === '' ? undefined : JSON.parse(text)
    const name = rawName ?? body?.meta?.name
    const { status, result, confirmed } = request.method === 'GET' ? await this.#read(kind, rawName, url) : this.#write(request.method, kind, name, body, url)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(result))
    if (confirmed !== undefined) this.handleConfirmed(kind, name, confirmed)
  }

  async #read (kind, name, url) {
    const since = url.searchParams.get('watch')
    if (since !== null) return await this.#watch(kind, Number(since), Number(url.searchParams.get('wait-ms') ?? 0))
    if (name !== undefined) {
      const object = this.find(kind, name)
      return object === undefined ? { status: 404, result: {} } : { status: 200, result: object }
    }
    const items = [...this.#findItems(kind).values()].sort((left, right) => left.meta.name < right.meta.name ? -1 : 1)
    return { status: 200, result: { items, more: false, 'store-revision': this.#revision } }
  }

  async #watch (kind, since, waitMs) {
    const deadline = Date.now() + waitMs
    for (;;) {
      const events = this.#events.filter((item) => item.kind === kind && item.rev > since).map(({ event }) => event)
      const leftMs = deadline - Date.now()
      if (events.length > 0 || leftMs <= 0) return { status: 200, result: { events, 'store-revision': this.#revision } }
      await new Promise((resolve) => {
        const wake = () => { clearTimeout(timer); this.#waiters.delete(wake); resolve() }
        const timer = setTimeout(wake, leftMs)
        this.#waiters.add(wake)
      })
    }
  }

  #write (method, kind, name, body, url) {
    const object = this.find(kind, name)
    if (method === 'POST') {
      if (object !== undefined) return { status: 409, result: object }
      return { status: 201, result: this.#record(kind, name, this.translate(kind, body.spec), false), confirmed: body.spec }
    }
    if (object === undefined) return { status: 404, result: {} }
    const expected = body?.meta?.rev ?? (url.searchParams.has('rev') ? Number(url.searchParams.get('rev')) : undefined)
    if (expected !== undefined && expected !== object.meta.rev) return { status: 409, result: object }
    if (method === 'DELETE') return { status: 200, result: this.#record(kind, name, undefined, true), confirmed: {} }
    return { status: 200, result: this.#record(kind, name, body.spec === undefined ? object.spec : this.translate(kind, body.spec), false), confirmed: body.spec }
  }
}
