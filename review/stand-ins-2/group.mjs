import { Database } from './database.mjs'

/** Stand-in of one service: a primary and its replicas, which receive each commit `lagMs` later. */
export class Group {
  databases = []
  #store

  constructor ({ name, store, slots = 5, maxConnections = 50, workMs = 2, handshakeMs = 10, lagMs = 10, promoteMs = 300 }) {
    this.name = name
    this.#store = store
    this.slots = slots
    this.maxConnections = maxConnections
    this.workMs = workMs
    this.handshakeMs = handshakeMs
    this.lagMs = lagMs
    this.promoteMs = promoteMs
  }

  static async open ({ zones, ...options }) {
    const group = new Group(options)
    for (const [index, zone] of zones.entries()) group.databases.push(await Database.open({ id: `i-${options.name}-${index}`, zone, group }))
    group.databases[0].isPrimary = true
    for (const database of group.databases) group.register(database)
    return group
  }

  get primary () { return this.databases.find(({ isPrimary }) => isPrimary) }

  close () {
    for (const database of this.databases) database.close()
  }

  readRow (database, item) { return database.log.findLast((entry) => entry.item === item)?.data ?? 'none' }

  append (database, write) {
    database.log.push({ ...write, term: database.term, number: database.log.length + 1 })
    setTimeout(() => { this.#replicate() }, this.lagMs)
  }

  register (database) {
    this.#store.put('servers', database.id, {
      service: this.name, address: database.address, zone: database.zone, version: 'v1', slots: this.slots, state: 'ready', 'warmup-left-ms': 0, 'db-role': database.isPrimary ? 'primary' : 'replica', sequence: 1
    })
  }

  /** The named database leads the next term with what it has received; the old primary loses the lead at that moment. */
  async promote (id) {
    const next = this.databases.find((database) => database.id === id)
    if (next === undefined || next.isDark) return false
    if (next.isPrimary) return true
    await new Promise((resolve) => setTimeout(resolve, this.promoteMs))
    const old = this.primary
    const term = Math.max(...this.databases.map((database) => database.term)) + 1
    old.isPrimary = false
    next.isPrimary = true
    for (const database of this.databases) database.term = term
    this.#replicate()
    for (const database of this.databases) if (!database.isDark) this.register(database)
    return true
  }

  #replicate () {
    const { primary } = this
    if (primary === undefined) return
    for (const database of this.databases) if (database !== primary && !database.isDark) database.log = [...primary.log]
  }

  darken (database) {
    database.darken()
  }

  lighten (database) {
    database.lighten()
    this.#replicate()
    this.register(database)
  }
}
