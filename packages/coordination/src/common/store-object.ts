export interface StoreObject {
  name: string
  /** Version of the store at the last change of the object. */
  revision: number
  value: unknown
}
