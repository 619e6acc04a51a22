import { connect } from 'node:net'

/** Client of the wire protocol. One request at a time. */
export class Client {
  #socket
  #remainder = ''
  #message = { rows: [] }
  #resolve
  isClosed = false

  constructor (socket) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#finish({ isLost: true }); this.isClosed = true })
    socket.on('end', () => { this.isClosed = true })
    socket.on('data', (bytes) => { this.#receive(bytes) })
  }

  /** Connects and sends START. The answer is in `started`. */
  static async open (port, database, key, timeoutMs = 2000) {
    const client = new Client(connect({ host: '127.0.0.1', port }))
    client.started = await client.#send(`START ${database} ${key}\r\n`, timeoutMs)
    return client
  }

  /** Resolves with `{ rows, proof, code, text, state, position }`, or with `isLost` when no complete answer came. */
  async query (id, text, timeoutMs = 10_000) {
    return await this.#send(`QUERY ${id} ${text}\r\n`, timeoutMs)
  }

  close () {
    if (!this.isClosed) this.#socket.end('QUIT\r\n')
  }

  async #send (line, timeoutMs) {
    if (this.isClosed) return { rows: [], isLost: true }
    return await new Promise((resolve) => {
      this.#message = { rows: [] }
      const timer = setTimeout(() => { this.#finish({ isLost: true, isTimeout: true }); this.#socket.destroy() }, timeoutMs)
      this.#resolve = (message) => { clearTimeout(timer); resolve(message) }
      this.#socket.write(line, 'latin1')
    })
  }

  #finish (fields) {
    const resolve = this.#resolve
    this.#resolve = undefined
    resolve?.({ ...this.#message, ...fields })
  }

  #receive (bytes) {
    const lines = (this.#remainder + bytes.toString('latin1')).split('\r\n')
    this.#remainder = lines.pop()
    for (const line of lines) {
      const [word, first = '', second] = line.split(' ')
      if (word === 'ROW') this.#message.rows.push(line.slice('ROW '.length))
      else if (word === 'DONE') this.#message.proof = first
      else if (word === 'ERR') Object.assign(this.#message, { code: first, text: line.slice('ERR '.length + first.length + 1) })
      else if (word === 'READY') this.#finish({ state: first, position: second })
    }
  }
}
