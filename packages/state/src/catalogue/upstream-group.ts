/** Properties of a replicated group of databases that the operators configure. */
export interface UpstreamGroup {
  /** Connections that each of its databases accepts from all hosts together. */
  maxConnections: number
  /** Number of replicas that must acknowledge a commit in addition to the primary. */
  syncReplicas: number
  /** Limit for a database that is cold after its start; undefined: none. */
  warmup?: { durationMs: number, requestsPerSecond: number } | undefined
}
