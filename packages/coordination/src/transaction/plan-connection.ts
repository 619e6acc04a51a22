interface Connection { organisation: string, isIdle: boolean, usedAt: number }

interface PlanOptions<Item extends Connection> {
  organisation: string
  connections: readonly Item[]
  /** Connections that are being opened, by organisation. */
  opening: ReadonlyMap<string, number>
  /** Requests of the organisation that wait for a connection, this one included. */
  waiting: number
  /** Connections that this owner may hold. */
  limit: number
}

type Plan<Item> =
  | { type: 'open' }
  /** Close this idle one of another organisation first. */
  | { type: 'replace', victim: Item }
  | { type: 'wait' }

/**
 * How a request without an idle connection of its organisation gets one. An idle connection of another organisation that was
 * used least recently gives way; a busy one never does.
 */
export function planConnection<Item extends Connection> ({ organisation, connections, opening, waiting, limit }: PlanOptions<Item>): Plan<Item> {
  if ((opening.get(organisation) ?? 0) >= waiting) return { type: 'wait' }
  const total = connections.length + [...opening.values()].reduce((sum, count) => sum + count, 0)
  if (total < limit) return { type: 'open' }
  const idle = connections.filter((connection) => connection.isIdle && connection.organisation !== organisation)
  const [victim] = idle.sort((left, right) => left.usedAt - right.usedAt)
  return victim === undefined ? { type: 'wait' } : { type: 'replace', victim }
}
