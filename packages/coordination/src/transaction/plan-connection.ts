interface Connection { organisation: string, isIdle: boolean, usedAt: number }

interface PlanOptions<Item extends Connection> {
  organisation: string
  connections: readonly Item[]
  /** Number of connections that are being opened, by organisation. */
  opening: ReadonlyMap<string, number>
  /** Number of the organisation's requests that wait for a connection, including this one. */
  waiting: number
  /** Largest number of connections that this owner may hold. */
  limit: number
}

type Plan<Item> =
  | { type: 'open' }
  /** Close `victim`, an idle connection of another organisation, before opening one. */
  | { type: 'replace', victim: Item }
  | { type: 'wait' }

/**
 * Plans how a request obtains a connection when its organisation has no idle one. At the limit, the least recently used idle
 * connection of another organisation is replaced; a busy connection never is.
 */
export function planConnection<Item extends Connection> ({ organisation, connections, opening, waiting, limit }: PlanOptions<Item>): Plan<Item> {
  if ((opening.get(organisation) ?? 0) >= waiting) return { type: 'wait' }
  const connectionCount = connections.length + [...opening.values()].reduce((sum, count) => sum + count, 0)
  if (connectionCount < limit) return { type: 'open' }
  const idleOfOthers = connections.filter((connection) => connection.isIdle && connection.organisation !== organisation)
  const [victim] = idleOfOthers.sort((left, right) => left.usedAt - right.usedAt)
  return victim === undefined ? { type: 'wait' } : { type: 'replace', victim }
}
