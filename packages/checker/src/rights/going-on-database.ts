/** Fake database that goes on as a primary after another one was promoted. */
export interface GoingOnDatabase {
  id: string
  term: number
  leads: boolean
  log: string[]
  isLeaving: boolean
}
