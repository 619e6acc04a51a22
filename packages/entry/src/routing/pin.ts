import type { PoolLink } from './pool-link.js'

/** Pool and database that serve all requests of an open transaction. */
export interface Pin {
  link: PoolLink
  database: string
  access: 'read' | 'write'
}
