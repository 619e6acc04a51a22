/** What a database says of itself in the directory. */
export interface UpstreamRecord {
  id: string
  group: string
  /** `ip:port` of its statement port. */
  address: string
  dataCentre: string
  /** Statements that it runs at a time. */
  slots: number
  /** It is about to end and gets no new work. */
  isLeaving: boolean
  claimsPrimary: boolean
  /** Unix time of its start in ms; an id may start again and then knows nothing of before. */
  startedAt: number
  /** Version of the directory at the last change of the record. */
  revision: number
}
