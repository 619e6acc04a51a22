import type { Group } from './group.js'

/** Member of an upstream group. */
export type Database = Group['databases'][number]
