export interface EntryAddress {
  host: string
  address: string
  port: number
}
