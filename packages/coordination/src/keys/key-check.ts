/** Input of the access check of one request. Key name and generation are those with which its session logged in. */
export interface KeyCheck {
  organisation: string
  keyName: string
  generation: number
  entryName: string
}
