export interface UpstreamAddress {
  host: string
  port: number
  databaseName: string
  user: string
  password: string
}
