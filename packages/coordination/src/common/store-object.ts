export interface StoreObject {
  name: string
  /** Version of the store at which the object was last changed. */
  revision: number
  value: unknown
}
