import { createServer, type Server } from 'node:net'
import { listReservableRanges } from './list-reservable-ranges.js'
import { PortLocks } from './port-locks.js'

interface OpenOptions {
  count: number
  /** Both ends of each range are included. */
  ranges?: ReadonlyArray<{ first: number, last: number }>
  /** Directory of the lock files; the default is shared by all runs. */
  directory?: string
}

const ADDRESS = '127.0.0.1'

/** Position in the ranges at which the next search of this process begins, so that it returns a released port as late as possible. */
let nextPosition = Math.floor(Math.random() * 65_536)

/**
 * Loopback ports for programs whose addresses must be fixed before they start or must survive a restart. Other programs listen on
 * port 0. From `open` to `close`, no other reservation of this or of another process gets the ports. Until `handOver`, a listening
 * socket holds each of them against programs that do not reserve; afterwards only these could take one, by listening on it.
 */
export class ReservedPorts {
  readonly #locks: PortLocks
  readonly #servers = new Map<number, Server>()
  #ports: readonly number[] = []

  private constructor (locks: PortLocks) {
    this.#locks = locks
  }

  /** Reserves `count` ports. If fewer are available, releases them and throws an error that tells what occupies the others. */
  static async open ({ count, ranges = listReservableRanges(), directory }: OpenOptions): Promise<ReservedPorts> {
    const reserved = new ReservedPorts(PortLocks.create({ directory }))
    try {
      await reserved.#reserve(count, ranges.flatMap(({ first, last }) => Array.from({ length: last - first + 1 }, (_, index) => first + index)))
    } catch (error) {
      await reserved.close()
      throw error
    }
    return reserved
  }

  get ports (): readonly number[] { return this.#ports }

  /** Closes the sockets that hold the ports, immediately before the programs are started that listen on them. The ports stay reserved. */
  async handOver (): Promise<void> {
    const servers = [...this.#servers.values()]
    this.#servers.clear()
    await Promise.all(servers.map(async (server) => { await new Promise((resolve) => { server.close(resolve) }) }))
  }

  /** Releases the ports. The programs that listen on them must have ended. */
  async close (): Promise<void> {
    await this.handOver()
    for (const port of this.#ports) this.#locks.release(port)
    this.#ports = []
  }

  async #reserve (count: number, candidates: readonly number[]): Promise<void> {
    let [tried, locked] = [0, 0]
    while (this.#ports.length < count && tried < candidates.length) {
      const batch = Array.from({ length: Math.min(count - this.#ports.length, candidates.length - tried) }, () => candidates[nextPosition++ % candidates.length] as number)
      const acquired = this.#locks.acquire(batch)
      tried += batch.length
      locked += batch.length - acquired.length
      this.#ports = [...this.#ports, ...acquired]
      const held = await Promise.all(acquired.map(async (port) => await this.#hold(port)))
      for (const port of acquired.filter((_, index) => !held[index])) this.#locks.release(port)
      this.#ports = this.#ports.filter((port) => this.#servers.has(port))
    }
    if (this.#ports.length === count) return
    const inUse = candidates.length - locked - this.#ports.length
    throw new Error(`cannot reserve ${count} ports: of ${candidates.length} outside the range of outgoing connections, ${locked} are reserved and ${inUse} are in use`)
  }

  /** Listens on the port. Returns false if another socket is bound to it. */
  async #hold (port: number): Promise<boolean> {
    const server = createServer((socket) => { socket.destroy() })
    // The reservation must not keep the process running.
    server.unref()
    return await new Promise((resolve) => {
      server.once('error', () => { resolve(false) })
      server.listen({ port, host: ADDRESS, exclusive: true }, () => {
        this.#servers.set(port, server)
        resolve(true)
      })
    })
  }
}
