import { createServer } from 'node:net'

const HEARTBEAT_MS = 1200
/** An entry of the directory goes after this many heartbeats without one. */
const MISSED_HEARTBEATS = 3

/** Stand-in for one database of a group: sessions, transactions, a log with terms, and replication from the primary. */
export class Database {
  id
  zone
  group
  /** Entries that were received, `{ number, item, data, id }`, and the last number of each term before the next one. */
  log = []
  termStarts = [{ term: 1, after: 0 }]
  /** Number of entries that reads see; a replica applies entries after it has received them. */
  applied = 0
  appliedTerm = 1
  isPrimary = false
  state = 'ready'
  isRunning = true
  /** A deaf replica receives nothing from the primary. */
  isDeaf = false
  isPaused = false
  lagMs
  workMs
  runs = []
  /** `{ slots, queue, maxConnections, handshakeMs }`: a new connection occupies a slot for the last. */
  #limits
  #address
  #port
  #server
  #sessions = new Set()
  #running = 0
  #waiting = []
  #darkWaiters = []
  isDark = false
  #heartbeat
  #sequence = 0
  #born = Date.now()

  constructor ({ id, zone, group, address, port, limits, lagMs, workMs }) {
    Object.assign(this, { id, zone, group, lagMs, workMs })
    this.#limits = limits
    this.#address = address
    this.#port = port
  }

  static async open (options) {
    const database = new Database(options)
    await database.#listen()
    return database
  }

  get term () { return this.termStarts.at(-1).term }
  get received () { return `${this.term}.${this.log.length}` }
  get position () { return `${this.isPrimary ? this.term : this.appliedTerm}.${this.isPrimary ? this.log.length : this.applied}` }

  /** Writes its entry of the directory, at once and then with each heartbeat. */
  register () {
    clearInterval(this.#heartbeat)
    const write = () => {
      this.group.store.put('servers', this.id, {
        service: this.group.name,
        address: `${this.#address}:${this.#port}`,
        zone: this.zone,
        version: 'v1',
        slots: this.#limits.slots,
        state: this.state,
        'warmup-left-ms': 0,
        'db-role': this.isPrimary ? 'primary' : 'replica',
        sequence: ++this.#sequence,
        born: this.#born
      })
    }
    write()
    this.#heartbeat = setInterval(write, HEARTBEAT_MS)
  }

  /** The process ends: its connections are reset, its port is closed, and its entry goes after some heartbeats. */
  crash () {
    this.group.record.add(this.id, 'crashes')
    this.isRunning = false
    clearInterval(this.#heartbeat)
    this.#server.close()
    for (const { socket } of this.#sessions) socket.resetAndDestroy()
    this.#sessions.clear()
    this.#running = 0
    this.#waiting = []
    this.expiry = setTimeout(() => { this.group.store.remove('servers', this.id) }, HEARTBEAT_MS * MISSED_HEARTBEATS)
  }

  /** For some time nothing reaches the database and nothing comes from it. Its connections stay open. */
  goDark (ms) {
    this.group.record.add(this.id, `is dark for ${ms} ms`)
    this.isDark = true
    clearInterval(this.#heartbeat)
    for (const { socket } of this.#sessions) socket.pause()
    setTimeout(() => {
      this.group.record.add(this.id, `is back as ${this.isPrimary ? 'primary' : 'replica'} at ${this.position}`)
      this.isDark = false
      for (const wake of this.#darkWaiters.splice(0)) wake()
      for (const { socket } of this.#sessions) socket.resume()
      this.register()
      this.group.catchUp(this)
    }, ms)
  }

  close () {
    clearInterval(this.#heartbeat)
    clearTimeout(this.expiry)
    this.#server.close()
    for (const { socket } of this.#sessions) socket.destroy()
  }

  async #listen () {
    this.#server = createServer((socket) => { this.#accept(socket) })
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(this.#port, this.#address, resolve))
  }

  #accept (socket) {
    let buffer = ''
    let session
    let previous = Promise.resolve()
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sessions.delete(session) })
    socket.on('data', (bytes) => {
      const lines = (buffer + bytes.toString('latin1')).split('\r\n')
      buffer = lines.pop()
      for (const line of lines) {
        previous = previous.then(async () => {
          if (session === undefined) session = await this.#start(socket, line)
          else if (line === 'QUIT') socket.end()
          else await this.#query(session, line)
        })
      }
    })
  }

  async #waitWhileDark () {
    if (this.isDark) await new Promise((resolve) => { this.#darkWaiters.push(resolve) })
  }

  async #start (socket, line) {
    await this.#waitWhileDark()
    const [word, group, tenant, id] = line.split(' ')
    const code = word !== 'START' || group !== this.group.name || (id !== undefined && id !== this.id) ? 'WRONGNODE' : this.#sessions.size >= this.#limits.maxConnections ? 'CONNLIMIT' : undefined
    if (code !== undefined) {
      socket.end(`ERR ${code} ${this.id}\r\n`)
      return undefined
    }
    const session = { socket, tenant, state: 'I', isReadOnly: false, writes: [], values: new Map(), prepared: new Map() }
    this.#sessions.add(session)
    await this.#occupySlot(this.#limits.handshakeMs)
    socket.write(`READY I ${this.position}\r\n`)
    return session
  }

  async #query (session, line) {
    await this.#waitWhileDark()
    if (session.socket.destroyed) return
    const [, id] = line.split(' ', 2)
    const text = line.slice(`QUERY ${id} `.length)
    const result = await this.#run(session, id, text)
    await this.#waitWhileDark()
    if (this.isRunning && !session.socket.destroyed) session.socket.write(`${result}\r\nREADY ${session.state} ${this.position}\r\n`)
  }

  async #run (session, id, text) {
    const words = text.split(' ')
    if (words[0] === 'AFTER') return this.#holds(words[1]) ? await this.#run(session, id, words.slice(2).join(' ')) : `ERR LAGGING ${this.id}`
    if (words[0] === 'ROLLBACK') return endTransaction(session)
    if (session.state === 'E') return 'ERR MALFORMED the transaction has failed'
    switch (words[0]) {
      case 'BEGIN': return this.#begin(session, words[1] === 'READ')
      case 'COMMIT': return await this.#commit(session, id)
      case 'SET': session.values.set(words[1], words.slice(2).join(' ')); return 'DONE -'
      case 'PREPARE': session.prepared.set(words[1], words[2]); return 'DONE -'
      case 'DEALLOC': session.prepared.delete(words[1]); return 'DONE -'
      case 'RESET': session.values.clear(); session.prepared.clear(); return 'DONE -'
      case 'STATUS': break
      case 'PAUSE': if (!this.isPrimary && Number(words[1]) > this.term) this.isPaused = true; break
      case 'RESUME': this.isPaused = false; this.group.catchUp(this); break
      case 'STEPDOWN': break
      default: return await this.#runStatement(session, id, text, words)
    }
    this.group.record.add(this.id, `${text}: ${this.#describeStatus()}`)
    return `ROW ${this.#describeStatus()}\r\nDONE -`
  }

  #describeStatus () {
    return `${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.received} 0 ${this.isPrimary ? 0 : this.lagMs} ${this.#running} ${this.#sessions.size}`
  }

  #begin (session, isReadOnly) {
    if (!isReadOnly && !this.isPrimary) return `ERR READONLY ${this.id}`
    Object.assign(session, { state: 'T', isReadOnly, writes: [] })
    return 'DONE -'
  }

  async #commit (session, id) {
    if (!await this.#occupySlot(this.workMs)) return `ERR BUSY ${this.id}`
    if (session.writes.length > 0 && !this.isPrimary) {
      session.state = 'E'
      return `ERR READONLY ${this.id}`
    }
    this.#recordRun(session, id, 'COMMIT')
    const { writes } = session
    endTransaction(session)
    if (writes.length > 0) await this.group.commit(this, writes)
    return `DONE proof.${this.id}.${id}`
  }

  async #runStatement (session, id, text, [verb, first, second, third]) {
    const access = verb === 'EXECUTE' ? session.prepared.get(first) : verb
    const [item, data] = verb === 'EXECUTE' ? [second, third] : [first, second]
    if (access !== 'READ' && access !== 'WRITE') return `ERR ${verb === 'EXECUTE' ? 'NOSTMT' : 'MALFORMED'} ${this.id}`
    if (!await this.#occupySlot(this.workMs)) return `ERR BUSY ${this.id}`
    if (!this.isPrimary && (access === 'WRITE' || (session.state === 'T' && !session.isReadOnly))) {
      if (session.state === 'T') session.state = 'E'
      return `ERR READONLY ${this.id}`
    }
    this.#recordRun(session, id, text)
    if (access === 'WRITE') {
      if (session.state === 'T') session.writes.push({ id, item, data })
      else await this.group.commit(this, [{ id, item, data }])
      return `DONE proof.${this.id}.${id}`
    }
    const visible = this.isPrimary ? this.log : this.log.slice(0, this.applied)
    const row = visible.findLast((entry) => entry.item === item)?.data ?? 'none'
    return `ROW ${row}\r\nDONE proof.${this.id}.${id}`
  }

  #recordRun (session, id, text) {
    this.runs.push({ id, text, tenant: session.tenant, at: this.group.record.readTime(), log: this.log.slice(0, this.isPrimary ? this.log.length : this.applied).map((entry) => entry.data) })
    this.group.record.add(this.id, `runs ${id} ${text} for ${session.tenant} at ${this.position}`)
  }

  #holds (position) {
    const [term, number] = position.split('.').map(Number)
    if (term > this.appliedTerm) return false
    const next = this.termStarts.find((start) => start.term > term && start.term <= this.appliedTerm)
    return number <= (next === undefined ? this.applied : Math.min(this.applied, next.after))
  }

  /** Returns false when the queue is full. */
  async #occupySlot (ms) {
    if (this.#running >= this.#limits.slots) {
      if (this.#waiting.length >= this.#limits.queue) return false
      await new Promise((resolve) => { this.#waiting.push(resolve) })
    } else this.#running++
    await new Promise((resolve) => setTimeout(resolve, ms))
    const next = this.#waiting.shift()
    if (next === undefined) this.#running = Math.max(0, this.#running - 1)
    else next()
    return true
  }
}

function endTransaction (session) {
  Object.assign(session, { state: 'I', writes: [] })
  return 'DONE -'
}
