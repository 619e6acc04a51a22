/** The site correia-belt, as its page and `fleetbench wire` show it. */
export const correiaBelt = {
  zones: { 'braga-a': 'pt-norte', 'coimbra-a': 'pt-centro', 'faro-a': 'pt-sul' },
  bounds: { 'grace-s': 6, 'revoke-ms': 5000, 'quota-slack': 20, fencing: true },
  databases: { slots: 5, queue: 40, maxConnections: 50, handshakeMs: 27 }
}
