import { connect } from 'node:net'

/** A client of the system. Sends one request at a time and records what it sent and what was answered. */
export class WireClient {
  #socket
  #record
  #name
  #buffer = ''
  #lines = []
  #wake = () => {}
  #isClosed = false
  static #lastId = 0

  constructor (socket, name, record) {
    this.#socket = socket
    this.#name = name
    this.#record = record
    socket.setNoDelay(true)
    socket.on('data', (bytes) => {
      const lines = (this.#buffer + bytes.toString('latin1')).split('\r\n')
      this.#buffer = lines.pop()
      this.#lines.push(...lines)
      this.#wake()
    })
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => {
      this.#isClosed = true
      this.#wake()
    })
  }

  /** Resolves to a client whose `started` is the response to START. */
  static async open ({ address, port, database, key, name, record }) {
    const client = new WireClient(connect({ host: address, port }), name, record)
    client.#record.add(name, `START ${database}`)
    client.#socket.write(`START ${database} ${key}\r\n`, 'latin1')
    client.started = await client.#readResponse()
    client.#record.add(name, `-> ${describe(client.started)}`)
    return client
  }

  get isClosed () { return this.#isClosed }

  /** Sends a statement. The response has `proof` after a success and `code` after a failure; both are undefined when the connection closed. */
  async query (text) {
    const id = `${process.pid.toString(16)}${(++WireClient.#lastId).toString(16).padStart(8, '0')}`
    const sentAt = this.#record.readTime()
    this.#record.add(this.#name, `${id} ${text}`)
    this.#socket.write(`QUERY ${id} ${text}\r\n`, 'latin1')
    const response = await this.#readResponse()
    this.#record.add(this.#name, `-> ${id} ${describe(response)}`)
    return { id, sentAt, answeredAt: this.#record.readTime(), ...response }
  }

  close () {
    this.#socket.destroy()
  }

  async #readResponse () {
    const response = { rows: [], proof: undefined, code: undefined, reason: '', state: undefined, position: undefined }
    for (;;) {
      while (this.#lines.length === 0 && !this.#isClosed) await new Promise((resolve) => { this.#wake = resolve })
      const line = this.#lines.shift()
      if (line === undefined) return response
      const [word, first, second] = line.split(' ')
      if (word === 'ROW') response.rows.push(line.slice('ROW '.length))
      else if (word === 'DONE') response.proof = first
      else if (word === 'ERR') {
        response.code = first
        response.reason = line.slice(`ERR ${first} `.length)
      } else if (word === 'READY') {
        response.state = first
        response.position = second
        return response
      }
    }
  }
}

function describe ({ rows, proof, code, reason, state, position }) {
  if (state === undefined && code === undefined) return 'connection closed without a response'
  return `${rows.map((row) => `ROW ${row} `).join('')}${proof === undefined ? '' : `DONE ${proof} `}${code === undefined ? '' : `ERR ${code} (${reason}) `}READY ${state} ${position}`
}
