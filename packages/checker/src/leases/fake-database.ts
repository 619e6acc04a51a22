/** Fake database that keeps serving as a primary after another one was promoted. */
export interface FakeDatabase {
  id: string
  term: number
  isActingPrimary: boolean
  log: string[]
  isLeaving: boolean
}
