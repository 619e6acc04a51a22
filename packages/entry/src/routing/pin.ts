import type { PoolLink } from './pool-link.js'

/** Connection of an open transaction: all its requests go to this pool and database. */
export interface Pin {
  link: PoolLink
  database: string
  access: 'read' | 'write'
}
