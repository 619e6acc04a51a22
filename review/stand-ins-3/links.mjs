import { connect, createServer } from 'node:net'

/** The link of one host to the platform's store. While it is cut it carries nothing and is not reset. */
export class StoreLink {
  #server
  #connections = new Set()
  #isCut = false

  static async open (storeAddress) {
    const link = new StoreLink()
    const [host, port] = storeAddress.split(':')
    link.#server = createServer((socket) => {
      const upstream = connect({ host, port: Number(port), noDelay: true })
      const connection = { socket, upstream }
      link.#connections.add(connection)
      for (const [source, target] of [[socket, upstream], [upstream, socket]]) {
        source.on('data', (bytes) => {
          if (link.#isCut) connection.isHeld = true
          else target.write(bytes)
        })
        source.on('error', () => { source.destroy() })
        source.on('close', () => {
          link.#connections.delete(connection)
          target.destroy()
        })
      }
    })
    await new Promise((resolve) => { link.#server.listen(0, '127.0.0.1', resolve) })
    return link
  }

  get address () { return `127.0.0.1:${this.#server.address().port}` }

  cut () { this.#isCut = true }

  heal () {
    this.#isCut = false
    for (const { socket, isHeld } of this.#connections) if (isHeld === true) socket.destroy()
  }

  close () {
    this.#server.close()
    for (const { socket, upstream } of this.#connections) [socket, upstream].forEach((end) => { end.destroy() })
  }
}

/**
 * The links between machines: one loopback proxy before the peer port of each host. A cut link carries nothing in either direction
 * and is not reset. The connecting host is known by the name in its first message.
 */
export class Links {
  #servers = []
  #connections = new Set()
  #cutOff = new Set()

  static async open (hosts) {
    const links = new Links()
    links.names = hosts.map(({ name }) => name)
    links.ports = new Map()
    for (const host of hosts) {
      const server = createServer((socket) => { links.#accept(socket, host) })
      await new Promise((resolve) => { server.listen(0, host.ip, resolve) })
      links.ports.set(host.name, server.address().port)
      links.#servers.push(server)
    }
    return links
  }

  /** Cuts a host off from all other hosts. */
  cutOff (name) { this.#cutOff.add(name) }
  heal () {
    this.#cutOff.clear()
    for (const { socket, upstream } of this.#connections) if (socket.isHeld === true) [socket, upstream].forEach((end) => { end.destroy() })
  }

  close () {
    for (const server of this.#servers) server.close()
    for (const { socket, upstream } of this.#connections) [socket, upstream].forEach((end) => { end.destroy() })
  }

  #accept (socket, host) {
    const upstream = connect({ host: host.ip, port: host.peer, noDelay: true })
    const connection = { socket, upstream, from: undefined, to: host.name }
    this.#connections.add(connection)
    socket.setNoDelay(true)
    let early = []
    const forward = (source, target) => {
      source.on('data', (bytes) => {
        if (source === socket && connection.from === undefined) connection.from = this.names.find((name) => bytes.includes(name))
        if (connection.from === undefined) {
          early.push([target, bytes])
          return
        }
        for (const [end, held] of [...early, [target, bytes]]) {
          if (this.#cutOff.has(connection.from) || this.#cutOff.has(connection.to)) socket.isHeld = true
          else end.write(held)
        }
        early = []
      })
      source.on('error', () => { source.destroy() })
      source.on('close', () => {
        this.#connections.delete(connection)
        if (socket.isHeld !== true) target.destroy()
      })
    }
    forward(socket, upstream)
    forward(upstream, socket)
  }
}
