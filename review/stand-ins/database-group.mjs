/** Stand-in for the databases of one service: replication, acknowledgement by replicas, and change of primary. */
export class DatabaseGroup {
  name
  store
  record
  databases = []
  #syncReplicas
  #promoteMs
  #networkMs
  #receiptWaiters = []
  /** What each promotion found: `{ id, log, at }`. */
  promotions = []

  constructor ({ name, store, record, syncReplicas, promoteMs, networkMs }) {
    Object.assign(this, { name, store, record })
    this.#syncReplicas = syncReplicas
    this.#promoteMs = promoteMs
    this.#networkMs = networkMs
  }

  static create (options) {
    return new DatabaseGroup(options)
  }

  get primary () { return this.databases.find(({ isPrimary }) => isPrimary) }

  /** A database joins with the log of the primary, or as the first one. */
  add (database) {
    const { primary } = this
    if (primary === undefined) database.isPrimary = true
    else {
      database.log = [...primary.log]
      database.termStarts = [...primary.termStarts]
      database.applied = database.log.length
      database.appliedTerm = database.term
    }
    this.databases.push(database)
    database.register()
  }

  /** Appends the writes of one commit and resolves when they may be acknowledged. */
  async commit (primary, writes) {
    for (const { id, item, data } of writes) primary.log.push({ number: primary.log.length + 1, id, item, data })
    primary.applied = primary.log.length
    const number = primary.log.length
    for (const replica of this.databases) if (replica !== primary) this.#send(primary, replica)
    if (this.#syncReplicas > 0) await new Promise((resolve) => { this.#receiptWaiters.push({ number, resolve }) })
  }

  /** Sends a replica what it lacks, after it can receive again. */
  catchUp (replica) {
    if (this.primary !== undefined && this.primary !== replica) this.#send(this.primary, replica)
  }

  /** Called by the endpoint. Returns false for a database that is not running. */
  startPromotion (id) {
    const next = this.databases.find((database) => database.id === id)
    if (next === undefined || !next.isRunning) return false
    if (!next.isPrimary) setTimeout(() => { this.#promote(next) }, this.#promoteMs)
    return true
  }

  #promote (next) {
    if (next.isPrimary || !next.isRunning) return
    const old = this.primary
    const term = Math.max(...this.databases.map((database) => database.term)) + 1
    this.promotions.push({ id: next.id, log: [...next.log], at: this.record.readTime() })
    this.record.add(next.id, `leads term ${term} with ${next.log.length} entries`)
    if (old !== undefined) old.isPrimary = false
    for (const database of this.databases) database.isPaused = false
    Object.assign(next, { isPrimary: true, isDeaf: false, applied: next.log.length })
    next.termStarts.push({ term, after: next.log.length })
    for (const database of this.databases) {
      if (database === next || !database.isRunning) continue
      if (database.log.length > next.log.length) this.record.add(database.id, `rolls back ${database.log.length - next.log.length} entries`)
      database.log.length = Math.min(database.log.length, next.log.length)
      database.applied = Math.min(database.applied, database.log.length)
      this.#send(next, database)
    }
    for (const database of [next, old]) if (database?.isRunning === true && !database.isDark) database.register()
  }

  /** A message on its way arrives also when its sender crashes meanwhile. */
  #send (primary, replica) {
    const [log, termStarts] = [[...primary.log], [...primary.termStarts]]
    setTimeout(() => {
      if (!replica.isRunning || replica.isDark || replica.isPrimary || replica.isDeaf || replica.isPaused || termStarts.at(-1).term < replica.term) return
      if (log.length < replica.log.length) return
      replica.log = log
      replica.termStarts = termStarts
      this.#receiptWaiters = this.#receiptWaiters.filter(({ number, resolve }) => {
        if (number <= log.length) setTimeout(resolve, this.#networkMs)
        return number > log.length
      })
      setTimeout(() => { this.#apply(replica, log.length, termStarts.at(-1).term) }, replica.lagMs)
    }, this.#networkMs)
  }

  #apply (replica, length, term) {
    if (replica.isPrimary || term < replica.appliedTerm) return
    replica.applied = Math.min(replica.log.length, Math.max(replica.applied, length))
    replica.appliedTerm = term
  }
}
