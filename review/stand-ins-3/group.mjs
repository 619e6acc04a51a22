import { Database } from './database.mjs'

/**
 * Stand-in for a primary with its replicas. Replicas receive each commit after the delay of the link between the two zones. With
 * `syncReplicas` 1 a commit is acknowledged once one replica has received it.
 */
export class Group {
  databases = []
  /** Called when a database runs a read, a write or a commit, with the values of the session at that moment. */
  handleRun = () => {}
  /** Completed changes of primary, with the ids that the promoted database had at that moment. */
  promotions = []
  /** Acknowledged commits: id and time of the acknowledgement. */
  acknowledged = []
  #waiting = new Set()

  static async open ({ name, store, zones, linkMs, syncReplicas, promoteMs, maxConnections }) {
    const group = new Group()
    Object.assign(group, { name, store, linkMs, syncReplicas, promoteMs })
    for (const [index, zone] of zones.entries()) group.databases.push(await Database.open({ id: `i-${name}-${index}`, zone, group, maxConnections }))
    group.primary = group.databases[0]
    group.primary.isPrimary = true
    for (const database of group.databases) database.register()
    return group
  }

  /** Returns whether the commit was acknowledged; never settles while no replica receives it and the primary leads. */
  async append (database, entry) {
    const index = database.log.push(entry)
    const isAcknowledged = this.syncReplicas === 0 || await new Promise((resolve) => {
      const wait = { database, index, resolve }
      this.#waiting.add(wait)
      for (const replica of this.databases) if (replica !== database) this.#deliver(database, replica, index)
    })
    if (this.syncReplicas === 0) for (const replica of this.databases) if (replica !== database) this.#deliver(database, replica, index)
    if (isAcknowledged) this.acknowledged.push({ id: entry.id, at: Date.now() })
    return isAcknowledged
  }

  /** Sends a replica that receives again what it lacks. */
  catchUp (replica) {
    if (replica !== this.primary) this.#deliver(this.primary, replica, this.primary.log.length)
  }

  /** Starts the change to another primary. Returns false when the database does not run. */
  promote (id) {
    const next = this.databases.find((database) => database.id === id)
    if (next === undefined || next.isDark) return false
    if (next !== this.primary) setTimeout(() => { this.#lead(next) }, this.promoteMs)
    return true
  }

  stepDown (database) {
    if (database !== this.primary) this.#follow(database)
  }

  close () {
    for (const database of this.databases) database.close()
  }

  #deliver (from, replica, index) {
    const delayMs = this.linkMs(from.zone, replica.zone)
    setTimeout(() => {
      if (from !== this.primary || from.isDark || replica.isDark || replica.isPaused || replica.isPrimary || replica.log.length >= index) return
      replica.log.push(...from.log.slice(replica.log.length, index))
      setTimeout(() => { this.#acknowledge(from, index) }, delayMs)
    }, delayMs)
  }

  #acknowledge (database, index) {
    if (database !== this.primary || database.isDark) return
    for (const wait of this.#waiting) {
      if (wait.database !== database || wait.index > index) continue
      this.#waiting.delete(wait)
      wait.resolve(true)
    }
  }

  #lead (next) {
    if (next === this.primary || next.isDark) return
    const old = this.primary
    this.promotions.push({ at: Date.now(), from: old.id, to: next.id, ids: new Set(next.log.map(({ id }) => id)) })
    this.primary = next
    next.term = Math.max(...this.databases.map(({ term }) => term)) + 1
    next.isPrimary = true
    next.isPaused = false
    old.isPrimary = false
    for (const wait of this.#waiting) wait.resolve(false)
    this.#waiting.clear()
    for (const database of this.databases) if (database !== next) this.#follow(database)
    for (const database of this.databases) database.register()
  }

  #follow (database) {
    database.isPrimary = false
    database.isPaused = false
    database.term = this.primary.term
    database.log = [...this.primary.log]
    database.register()
  }
}
