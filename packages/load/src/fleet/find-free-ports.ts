import { createServer, type AddressInfo, type Server } from 'node:net'

const ADDRESS = '127.0.0.1'

/** Finds free loopback ports. All are held open until the last is found, so that none is found twice. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}

async function openServer (): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ADDRESS, resolve)
  })
  return server
}
