import { createServer } from 'node:http'

/** Time until the store answers a call. */
const ANSWER_MS = 4

/** Stand-in for the platform's metadata store: objects by kind and name, one revision counter, conditional writes, watches. */
export class Store {
  #server
  #record
  #kinds = new Map()
  #events = []
  #revision = 100
  #wakeWatches = new Set()

  constructor (record) {
    this.#record = record
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })
  }

  static async open ({ address, port, record }) {
    const store = new Store(record)
    await new Promise((resolve, reject) => store.#server.once('error', reject).listen(port, address, resolve))
    return store
  }

  /** Writes an object as the operator or a database does. The return is the confirmation. */
  put (kind, name, spec) {
    const present = this.#find(kind).get(name)
    if (present !== undefined && JSON.stringify(present.spec) === JSON.stringify(spec)) return
    if (present !== undefined && isOnlySequenceNew(present.spec, spec)) {
      present.spec = spec
      return
    }
    this.#change(kind, { meta: { name, rev: 0, created: present?.meta.created ?? this.#revision, finalizers: [], deleting: false }, spec, status: null }, false)
  }

  remove (kind, name) {
    const present = this.#find(kind).get(name)
    if (present !== undefined) this.#change(kind, { ...present, meta: { ...present.meta } }, true)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #find (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #change (kind, object, removed) {
    object.meta.rev = ++this.#revision
    if (removed) this.#find(kind).delete(object.meta.name)
    else this.#find(kind).set(object.meta.name, object)
    this.#events.push({ kind, rev: this.#revision, object, removed })
    this.#record.add('store', `${removed ? 'removed' : 'confirmed'} ${kind}/${object.meta.name} at revision ${this.#revision}`)
    for (const wake of this.#wakeWatches) wake()
    this.#wakeWatches.clear()
    return object
  }

  async #handle (request, response) {
    let text = ''
    for await (const chunk of request) text += chunk
    const url = new URL(request.url, 'http://store')
    const [, , kind, encodedName] = url.pathname.split('/')
    const body = text === '' ? undefined : JSON.parse(text)
    const name = encodedName === undefined ? body?.meta.name : decodeURIComponent(encodedName)
    await delay(ANSWER_MS)
    const [status, result] = await this.#call(request.method, kind, name, url.searchParams, body)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(result))
  }

  async #call (method, kind, name, query, body) {
    const objects = this.#find(kind)
    if (method === 'GET' && query.has('watch')) return [200, await this.#watch(kind, Number(query.get('watch')), Number(query.get('wait-ms')))]
    if (method === 'GET' && name === undefined) return [200, { items: [...objects.values()], more: false, 'store-revision': this.#revision }]
    const present = objects.get(name)
    if (method === 'GET') return present === undefined ? [404, {}] : [200, present]
    if (method === 'POST') return present === undefined ? [201, this.#change(kind, { meta: { name, rev: 0, created: this.#revision + 1, finalizers: [], deleting: false }, spec: body.spec, status: null }, false)] : [409, present]
    if (present === undefined) return [404, {}]
    const condition = body?.meta?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined)
    if (condition !== undefined && condition !== present.meta.rev) return [409, present]
    if (method === 'DELETE') return [200, this.#change(kind, { ...present, meta: { ...present.meta } }, true)]
    if (JSON.stringify(present.spec) === JSON.stringify(body.spec)) return [200, present]
    return [200, this.#change(kind, { ...present, meta: { ...present.meta }, spec: body.spec }, false)]
  }

  async #watch (kind, revision, waitMs) {
    const deadline = performance.now() + waitMs
    for (;;) {
      const events = this.#events.filter((event) => event.kind === kind && event.rev > revision)
      const leftMs = deadline - performance.now()
      if (events.length > 0 || leftMs <= 0) return { events: events.map(({ object, removed }) => ({ object, removed })), 'store-revision': this.#revision }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs)
        this.#wakeWatches.add(() => { clearTimeout(timer); resolve() })
      })
    }
  }
}

function isOnlySequenceNew (before, after) {
  return JSON.stringify({ ...before, sequence: 0 }) === JSON.stringify({ ...after, sequence: 0 })
}

async function delay (ms) {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
