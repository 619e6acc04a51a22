export interface StoreObject {
  name: string
  /** Version of the store at which the object was last changed, in the era in which it was read. */
  revision: number
  value: unknown
}
