import { request } from 'node:http'

const CHECK_INTERVAL_MS = 1000
const MISSES = 2

/** Stand-in for the platform's load balancer: asks every machine for its readiness once a second; two misses take it out. */
export class Balancer {
  #misses = new Map()
  #timer

  static create (hosts) {
    const balancer = new Balancer()
    balancer.hosts = hosts
    for (const host of hosts) balancer.#misses.set(host, MISSES)
    balancer.#check()
    balancer.#timer = setInterval(() => { balancer.#check() }, CHECK_INTERVAL_MS)
    return balancer
  }

  get ready () { return this.hosts.filter((host) => this.#misses.get(host) < MISSES) }

  /** Chooses a machine for a new connection. Without a ready one, any machine may be chosen. */
  choose (preferred = () => true) {
    const ready = this.ready.filter(preferred)
    const usable = ready.length > 0 ? ready : this.hosts.filter(preferred)
    return usable[Math.floor(Math.random() * usable.length)]
  }

  close () { clearInterval(this.#timer) }

  #check () {
    for (const host of this.hosts) {
      const record = (isReady) => { this.#misses.set(host, isReady ? 0 : this.#misses.get(host) + 1) }
      const call = request({ host: host.ip, port: host.ready, path: '/readiness', timeout: CHECK_INTERVAL_MS / 2, agent: false }, (response) => {
        response.resume()
        record(response.statusCode === 200)
      })
      call.on('timeout', () => { call.destroy() })
      call.on('error', () => { record(false) })
      call.end()
    }
  }
}
