/** Object in the platform's store. `version` is taken from a counter that increases with every change of any object. */
export interface StoredObject {
  kind: string
  name: string
  version: number
  value: unknown
}
