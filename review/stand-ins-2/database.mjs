import { createServer } from 'node:net'

/** Stand-in of one database: the wire protocol, transactions, session values, prepared statements, a log. */
export class Database {
  id
  zone
  isPrimary = false
  term = 1
  /** Entries `{ term, number, item, data, id }` in order. */
  log = []
  /** Statements that ran: `{ id, text, tenant, at, values }`. */
  runs = []
  /** Whether a statement fails with BUSY, which means that it did not run. */
  isShed = () => false
  #group
  #sessions = new Set()
  #isDark = false
  #wakeups = []
  #busy = 0
  #slotWaiters = []
  #server = createServer((socket) => { this.#accept(socket) })

  constructor ({ id, zone, group }) {
    this.id = id
    this.zone = zone
    this.#group = group
  }

  static async open (options) {
    const database = new Database(options)
    await new Promise((resolve) => { database.#server.listen(0, '127.0.0.1', resolve) })
    return database
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }
  get position () { return `${this.log.at(-1)?.term ?? this.term}.${this.log.at(-1)?.number ?? 0}` }
  get isDark () { return this.#isDark }
  get sessions () { return this.#sessions.size }

  close () {
    this.#server.close()
    for (const { socket } of this.#sessions) socket.destroy()
  }

  /** The database neither reads nor answers until `lighten`. Its connections stay open. */
  darken () {
    this.#isDark = true
    for (const { socket } of this.#sessions) socket.pause()
  }

  lighten () {
    this.#isDark = false
    for (const { socket } of this.#sessions) socket.resume()
    for (const wake of this.#wakeups.splice(0)) wake()
  }

  async #waitForLight () {
    while (this.#isDark) await new Promise((resolve) => { this.#wakeups.push(resolve) })
  }

  #accept (socket) {
    const session = { socket, tenant: undefined, state: 'I', isReadOnly: false, values: new Map(), prepared: new Map(), writes: [] }
    let remainder = ''
    let previous = Promise.resolve()
    this.#sessions.add(session)
    if (this.#isDark) socket.pause()
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sessions.delete(session) })
    socket.on('data', (bytes) => {
      const lines = (remainder + bytes.toString('latin1')).split('\r\n')
      remainder = lines.pop()
      for (const line of lines) previous = previous.then(async () => { await this.#handleLine(session, line) })
    })
  }

  async #handleLine (session, line) {
    const { socket } = session
    if (line === 'QUIT') {
      socket.end()
      return
    }
    if (session.tenant === undefined) {
      await this.#start(session, line)
      return
    }
    const [, id] = line.split(' ', 2)
    const answer = await this.#run(session, id, line.slice('QUERY '.length + id.length + 1))
    await this.#waitForLight()
    if (!socket.destroyed) socket.write(`${answer}READY ${session.state} ${this.position}\r\n`, 'latin1')
  }

  async #start (session, line) {
    const [word, service, tenant, id] = line.split(' ')
    const code = word !== 'START' || service !== this.#group.name || (id !== undefined && id !== this.id)
      ? 'WRONGNODE'
      : this.#sessions.size > this.#group.maxConnections ? 'CONNLIMIT' : undefined
    if (code !== undefined) {
      session.socket.end(`ERR ${code} ${this.id}\r\n`)
      return
    }
    await new Promise((resolve) => setTimeout(resolve, this.#group.handshakeMs))
    await this.#waitForLight()
    session.tenant = tenant
    session.socket.write(`READY I ${this.position}\r\n`)
  }

  async #run (session, id, text) {
    if (this.isShed(text)) return `ERR BUSY ${this.id}\r\n`
    const words = text.split(' ')
    if (words[0] === 'AFTER') {
      if (!this.#contains(words[1])) return `ERR LAGGING ${this.id}\r\n`
      text = text.slice(words[0].length + words[1].length + 2)
      words.splice(0, 2)
    }
    if (words[0] === 'ROLLBACK') return this.#end(session)
    if (session.state === 'E') return 'ERR MALFORMED the transaction failed\r\n'
    // A plain transaction of a database that has lost the lead refuses every statement, except the COMMIT of one that wrote nothing.
    const isEmptyCommit = words[0] === 'COMMIT' && session.writes.length === 0
    if (session.state === 'T' && !session.isReadOnly && !this.isPrimary && !isEmptyCommit) return this.#refuse(session)
    switch (words[0]) {
      case 'BEGIN': return session.state === 'T' ? 'ERR MALFORMED a transaction is open\r\n' : this.#begin(session, words[1] === 'READ')
      case 'COMMIT': return await this.#commit(session, id)
      case 'STATUS': return this.#describe()
      case 'STEPDOWN': return this.#describe()
      case 'SET': session.values.set(words[1], text.slice(words[0].length + words[1].length + 2)); return 'DONE -\r\n'
      case 'RESET': session.values.clear(); session.prepared.clear(); return 'DONE -\r\n'
      case 'PREPARE': session.prepared.set(words[1], { access: words[2], shape: words[3] }); return 'DONE -\r\n'
      case 'DEALLOC': return session.prepared.delete(words[1]) ? 'DONE -\r\n' : `ERR NOSTMT ${words[1]}\r\n`
      default: return await this.#execute(session, id, text, words)
    }
  }

  #describe () {
    return `ROW ${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.position} 0 0 ${this.#busy} ${this.#sessions.size}\r\nDONE -\r\n`
  }

  #refuse (session) {
    if (session.state === 'T') session.state = 'E'
    return `ERR READONLY ${this.id}\r\n`
  }

  #begin (session, isReadOnly) {
    if (!isReadOnly && !this.isPrimary) return this.#refuse(session)
    session.state = 'T'
    session.isReadOnly = isReadOnly
    return 'DONE -\r\n'
  }

  #end (session) {
    session.state = 'I'
    session.writes = []
    return 'DONE -\r\n'
  }

  async #commit (session, id) {
    await this.#occupySlot()
    if (session.writes.length > 0 && !this.isPrimary) return this.#refuse(session)
    this.runs.push({ id, text: 'COMMIT', tenant: session.tenant, at: performance.now() })
    for (const write of session.writes) this.#group.append(this, write)
    this.#end(session)
    return `DONE proof.${id}\r\n`
  }

  async #execute (session, id, text, words) {
    const [verb, first, ...others] = words
    const access = verb === 'EXECUTE' ? session.prepared.get(first)?.access : verb
    if (access === undefined) return `ERR NOSTMT ${first}\r\n`
    if (access !== 'READ' && access !== 'WRITE') return 'ERR MALFORMED unknown statement\r\n'
    const item = verb === 'EXECUTE' ? others[0] : first
    const data = (verb === 'EXECUTE' ? others.slice(1) : others).join(' ')
    if (access === 'WRITE' && !this.isPrimary) return this.#refuse(session)
    await this.#occupySlot()
    if (access === 'WRITE' && !this.isPrimary) return this.#refuse(session)
    this.runs.push({ id, text, tenant: session.tenant, at: performance.now(), values: Object.fromEntries(session.values) })
    if (access === 'READ') return `ROW ${this.#group.readRow(this, item)}\r\nDONE proof.${id}\r\n`
    if (session.state === 'T') session.writes.push({ item, data, id })
    else this.#group.append(this, { item, data, id })
    return `DONE proof.${id}\r\n`
  }

  async #occupySlot () {
    await this.#waitForLight()
    while (this.#busy >= this.#group.slots) await new Promise((resolve) => { this.#slotWaiters.push(resolve) })
    this.#busy++
    await new Promise((resolve) => setTimeout(resolve, this.#group.workMs))
    await this.#waitForLight()
    this.#busy--
    this.#slotWaiters.shift()?.()
  }

  #contains (position) {
    const [term, number] = position.split('.').map(Number)
    if (number === 0) return true
    return this.log[number - 1]?.term === term
  }
}
