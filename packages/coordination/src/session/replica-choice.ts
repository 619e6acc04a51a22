export interface ReplicaChoice {
  database: string
  isPrimary: boolean
}
