/** Object in the platform's store. `version` rises with every change of any object. */
export interface StoredObject {
  kind: string
  name: string
  version: number
  value: unknown
}
