/** The site turutasu, as its page and `fleetbench wire` show it. */
export const turutasu = {
  zones: { 'tartu-a': 'tartu', 'tallinn-a': 'tallinn', 'parnu-a': 'parnu' },
  bounds: { 'grace-s': 6, 'revoke-ms': 5000, 'quota-slack': 20, fencing: true },
  databases: { slots: 3, queue: 24, maxConnections: 23, handshakeMs: 12 }
}
