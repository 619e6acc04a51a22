import { createServer } from 'node:net'

const PING_INTERVAL_MS = 1200
const WORK_MS = 6
const SLOTS = 3

/** Stand-in for one database of a group: wire protocol, log, replication by its group. */
export class Database {
  log = []
  term = 3
  isPrimary = false
  isPaused = false
  isDark = false
  state = 'ready'
  born = Date.now()
  #sessions = new Set()
  #proofs = 0
  #server
  #timer

  static async open ({ id, zone, group, maxConnections }) {
    const database = new Database()
    Object.assign(database, { id, zone, group, maxConnections })
    database.#server = createServer((socket) => { database.#accept(socket) })
    await new Promise((resolve) => { database.#server.listen(0, '127.0.0.1', resolve) })
    database.#timer = setInterval(() => { database.register() }, PING_INTERVAL_MS)
    return database
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }
  get position () { return `${this.log.at(-1)?.term ?? this.term}.${this.log.length}` }

  register () {
    if (this.isDark) return
    this.group.store.register(this.id, {
      service: this.group.name,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: SLOTS,
      state: this.state,
      'warmup-left-ms': 0,
      'db-role': this.isPrimary ? 'primary' : 'replica',
      sequence: 1,
      born: this.born
    })
  }

  startDraining () {
    this.state = 'draining'
    this.register()
  }

  /** Is silent for a time or, with Infinity, for good; then runs again with its log and without its former connections. */
  goDark (durationMs) {
    this.isDark = true
    if (durationMs === Infinity) return
    this.backAt = Date.now() + durationMs
    setTimeout(() => {
      for (const { socket } of this.#sessions) socket.destroy()
      this.isDark = false
      this.register()
    }, durationMs)
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    for (const { socket } of this.#sessions) socket.destroy()
  }

  #accept (socket) {
    const session = { socket, isStarted: false, state: 'I', isReadOnly: false, writes: [], values: new Map(), prepared: new Map() }
    this.#sessions.add(session)
    let remainder = ''
    let previous = Promise.resolve()
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sessions.delete(session) })
    socket.on('data', (bytes) => {
      if (this.isDark) return
      const lines = (remainder + bytes.toString('latin1')).split('\r\n')
      remainder = lines.pop()
      for (const line of lines) previous = previous.then(async () => { await this.#handleLine(session, line) })
    })
  }

  async #handleLine (session, line) {
    const { socket } = session
    if (!session.isStarted) {
      const [word, service, , id] = line.split(' ')
      const code = word !== 'START' || service !== this.group.name || (id !== undefined && id !== this.id) ? 'WRONGNODE' : this.#sessions.size > this.maxConnections ? 'CONNLIMIT' : undefined
      if (code !== undefined) socket.end(`ERR ${code} ${this.id}\r\n`)
      else socket.write(`READY I ${this.position}\r\n`)
      session.isStarted = true
      return
    }
    if (line === 'QUIT') {
      socket.end()
      return
    }
    const [, queryId] = line.split(' ', 2)
    const result = await this.#run(session, queryId, line.slice('QUERY '.length + queryId.length + 1))
    if (!this.isDark && !socket.destroyed) socket.write(`${result}\r\nREADY ${session.state} ${this.position}\r\n`)
  }

  async #run (session, id, text) {
    const words = text.split(' ')
    if (words[0] === 'AFTER') {
      if (!this.#contains(words[1])) return `ERR LAGGING ${this.id}`
      return await this.#run(session, id, words.slice(2).join(' '))
    }
    if (words[0] === 'ROLLBACK') return this.#endTransaction(session)
    if (session.state === 'E') return 'ERR MALFORMED the transaction has failed'
    switch (words[0]) {
      case 'BEGIN': return this.#begin(session, words[1] === 'READ')
      case 'COMMIT': return await this.#commit(session, id)
      case 'STATUS': return this.#describe()
      case 'PAUSE':
        if (!this.isPrimary && Number(words[1]) > this.term) this.isPaused = true
        return this.#describe()
      case 'RESUME':
        this.isPaused = false
        this.group.catchUp(this)
        return this.#describe()
      case 'STEPDOWN':
        if (this.isPrimary && Number(words[1]) > this.term) this.group.stepDown(this)
        return this.#describe()
      case 'RESET':
        session.values.clear()
        session.prepared.clear()
        return 'DONE -'
      case 'SET':
        session.values.set(words[1], words.slice(2).join(' '))
        return 'DONE -'
      case 'PREPARE':
        session.prepared.set(words[1], words[2])
        return 'DONE -'
      case 'DEALLOC':
        session.prepared.delete(words[1])
        return 'DONE -'
      default: return await this.#runStatement(session, id, words)
    }
  }

  #describe () {
    return `ROW ${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.position} 0 0 0 ${this.#sessions.size}\r\nDONE -`
  }

  #contains (position) {
    const [term, number] = position.split('.').map(Number)
    return number === 0 || this.log[number - 1]?.term === term
  }

  #begin (session, isReadOnly) {
    if (!isReadOnly && !this.isPrimary) return `ERR READONLY ${this.id}`
    session.state = 'T'
    session.isReadOnly = isReadOnly
    return 'DONE -'
  }

  #endTransaction (session) {
    session.state = 'I'
    session.writes = []
    return 'DONE -'
  }

  async #runStatement (session, id, words) {
    let [verb, item, data] = words
    if (verb === 'EXECUTE') {
      if (!session.prepared.has(item)) return 'ERR NOSTMT unknown'
      verb = session.prepared.get(item)
      item = words[2]
      data = words[3]
    }
    const isJoining = session.state === 'T'
    if (!this.isPrimary && (verb === 'WRITE' || (isJoining && !session.isReadOnly))) {
      if (isJoining) session.state = 'E'
      return `ERR READONLY ${this.id}`
    }
    await new Promise((resolve) => { setTimeout(resolve, WORK_MS) })
    this.group.handleRun(this, id, words.join(' '), session.values)
    if (verb === 'READ') {
      const value = this.log.findLast((entry) => entry.item === item)?.data
      return `${value === undefined ? '' : `ROW ${value}\r\n`}DONE ${this.#createProof()}`
    }
    if (isJoining) {
      session.writes.push({ id, item, data })
      return `DONE ${this.#createProof()}`
    }
    return await this.#append(id, [{ id, item, data }])
  }

  async #commit (session, id) {
    const writes = session.writes
    this.group.handleRun(this, id, 'COMMIT', session.values)
    await new Promise((resolve) => { setTimeout(resolve, WORK_MS) })
    if (writes.length > 0 && !this.isPrimary) {
      session.state = 'E'
      return `ERR READONLY ${this.id}`
    }
    this.#endTransaction(session)
    return writes.length === 0 ? `DONE ${this.#createProof()}` : await this.#append(id, writes)
  }

  async #append (id, writes) {
    if (!this.isPrimary) return `ERR READONLY ${this.id}`
    const isAcknowledged = await this.group.append(this, { id, term: this.term, item: writes[0].item, data: writes.map(({ data }) => data).join(',') })
    return isAcknowledged ? `DONE ${this.#createProof()}` : 'ERR TIMEOUT the database lost the lead before a replica received the commit'
  }

  #createProof () { return `${this.id}.${++this.#proofs}` }
}
