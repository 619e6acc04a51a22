import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { CallerCodec } from '@tanagerusher/coordination/common/caller-codec'
import { CallerTask } from './caller-task.js'
import type { CallerServices } from './caller-services.js'

interface OpenOptions {
  address: string
  /** 0 lets the system choose a port; see `CallerServer.port`. */
  port: number
  incarnation: string
  services: CallerServices
  createCodec: () => CallerCodec
}

/** Accepts caller connections. Owns the listening socket and the task of each caller. */
export class CallerServer {
  readonly #server: Server
  readonly #tasks = new Set<CallerTask>()
  #accepted = 0

  private constructor (options: OpenOptions) {
    this.#server = createServer((socket) => { this.#accept(socket, options) })
  }

  static async open (options: OpenOptions): Promise<CallerServer> {
    const callers = new CallerServer(options)
    await new Promise<void>((resolve, reject) => {
      callers.#server.once('error', reject)
      callers.#server.listen(options.port, options.address, resolve)
    })
    return callers
  }

  get port (): number { return (this.#server.address() as AddressInfo).port }
  get size (): number { return this.#tasks.size }
  /** Number of callers that wait for a response. */
  get requestsInFlight (): number { return [...this.#tasks].filter((task) => task.isRunning).length }
  get openTransactions (): number { return [...this.#tasks].filter((task) => task.isInTransaction).length }

  /** Closes the sessions that have no request in flight and no open transaction. */
  closeIdle (): void {
    for (const task of this.#tasks) task.closeIdle()
  }

  abortTransactions (reason: string): void {
    for (const task of this.#tasks) task.abortTransaction(reason)
  }

  stopAccepting (): void {
    if (this.#server.listening) this.#server.close()
  }

  close (): void {
    this.#server.close()
    for (const task of this.#tasks) task.close()
  }

  #accept (socket: Socket, { incarnation, services, createCodec }: OpenOptions): void {
    const name = `${incarnation}/${++this.#accepted}`
    this.#tasks.add(CallerTask.create({ socket, codec: createCodec(), services, name, handleClosed: (task) => { this.#tasks.delete(task) } }))
  }
}
