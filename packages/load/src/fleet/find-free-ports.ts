import { createServer, type Server } from 'node:net'

const ADDRESS = '127.0.0.1'
/** The range lies below the ephemeral ports: an outgoing connection could otherwise occupy a port after it was found free. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000

let nextPort = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT)

/**
 * Finds free loopback ports. One process does not return the same port again until the range is used up. The first port
 * depends on the process ID, so that processes that run side by side usually start at different ports.
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  for (let tries = 0; ports.length < count && tries < LAST_PORT - FIRST_PORT; tries++) {
    const port = nextPort
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1
    if (await isFree(port)) ports.push(port)
  }
  if (ports.length < count) throw new Error(`there are no ${count} free ports from ${FIRST_PORT} to ${LAST_PORT}`)
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server: Server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, ADDRESS, () => { server.close(() => { resolve(true) }) })
  })
}
