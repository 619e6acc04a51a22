/** What one request is checked for. Key name and generation are those with which its session logged in. */
export interface KeyCheck {
  organisation: string
  keyName: string
  generation: number
  entryName: string
}
