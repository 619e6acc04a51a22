/** Directory record in which a database describes itself. */
export interface UpstreamRecord {
  id: string
  group: string
  /** `ip:port` of its statement port. */
  address: string
  dataCentre: string
  /** Number of statements that it runs concurrently. */
  slots: number
  /** The database is about to stop and gets no new work. */
  isLeaving: boolean
  claimsPrimary: boolean
  /** Unix time of its start, in ms. A database may restart under the same id and then has no state from before. */
  startedAt: number
  /** Remaining time in ms for which the database was cold when it wrote the record. */
  warmupLeftMs: number
  /** Version of the directory at the last change of the record. */
  revision: number
}
