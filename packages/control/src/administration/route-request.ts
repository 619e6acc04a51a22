import type { AuthenticatedOperator } from './authenticated-operator.js'

export interface RouteRequest<Body> {
  operator: AuthenticatedOperator
  params: Record<string, string>
  query: { limit: number, after: string | undefined, dryRun: boolean }
  /** Version that the caller expects, from `If-Match` or `If-None-Match: *` (0); undefined without either. */
  expectedVersion: number | undefined
  body: Body
}
