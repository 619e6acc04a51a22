import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'

const START_LIMIT_MS = 2000

/**
 * Client that sends one operation at a time in its session and connects again after a close. `chooseTarget` returns the address of
 * a machine that takes new connections.
 */
export class Client {
  /** Every operation that was sent: id, text, time, code of the answer or undefined. */
  operations = []
  #isClosed = false
  #socket
  #lines = []
  #remainder = ''
  #wake = () => {}

  static create (options) {
    return Object.assign(new Client(), options)
  }

  /** Sends the operations that `createText` returns, each `intervalMs` on average after the last one. */
  async run () {
    while (!this.#isClosed) {
      await new Promise((resolve) => { setTimeout(resolve, -Math.log(1 - Math.random()) * this.intervalMs) })
      if (!this.#isClosed) await this.#runOperation()
    }
  }

  close () {
    this.#isClosed = true
    this.#socket?.destroy()
    this.#wake()
  }

  async #runOperation () {
    const operation = { id: randomBytes(8).toString('hex'), text: this.createText(), sentAt: Date.now(), host: undefined, result: 'none', answeredAt: undefined }
    this.operations.push(operation)
    if (this.#socket === undefined || this.#socket.destroyed) {
      const target = this.chooseTarget()
      if (target === undefined || !await this.#open(target)) return
      this.target = target
    }
    operation.host = this.target.name
    this.#socket.write(`QUERY ${operation.id} ${operation.text}\r\n`)
    operation.result = await this.#readResult(Date.now() + this.limitMs) ?? 'closed'
    operation.answeredAt = Date.now()
    if (operation.result === 'closed') this.#socket.destroy()
  }

  async #open ({ ip, front }) {
    const socket = connect({ host: ip, port: front, noDelay: true })
    this.#socket = socket
    this.#lines = []
    this.#remainder = ''
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#wake() })
    socket.on('data', (bytes) => {
      const lines = (this.#remainder + bytes.toString('latin1')).split('\r\n')
      this.#remainder = lines.pop()
      this.#lines.push(...lines)
      this.#wake()
    })
    socket.write(`START ${this.database} ${this.key}\r\n`)
    const line = await this.#readLine(Date.now() + START_LIMIT_MS)
    if (line?.startsWith('READY') === true) return true
    socket.destroy()
    return false
  }

  /** Returns `DONE` with the proof, or the code of the error; undefined without a complete answer. */
  async #readResult (deadline) {
    let result
    for (;;) {
      const line = await this.#readLine(deadline)
      if (line === undefined) return undefined
      const [word, first] = line.split(' ')
      if (word === 'DONE') result = `DONE ${first}`
      else if (word === 'ERR') result = `ERR ${first}`
      else if (word === 'READY') return result
    }
  }

  async #readLine (deadline) {
    while (this.#lines.length === 0) {
      const leftMs = deadline - Date.now()
      if (this.#socket.destroyed || leftMs <= 0) return undefined
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs)
        this.#wake = () => { clearTimeout(timer); resolve() }
      })
    }
    return this.#lines.shift()
  }
}
